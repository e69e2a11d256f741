package org.almondmount.services;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store, where checkpoints lie. Thread-safe.
 */
public interface ObjectStore {

	/**
	 * Whether an object is there.
	 * @param name its name
	 * @return whether it is there, or a failed future when the store does not answer
	 */
	CompletableFuture<Boolean> exists(String name);

	/**
	 * Removes an object; one that is not there is no error.
	 * @param name its name
	 * @return completes when it is gone
	 */
	CompletableFuture<Void> delete(String name);

}
