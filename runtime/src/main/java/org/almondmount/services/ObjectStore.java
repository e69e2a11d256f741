package org.almondmount.services;

import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's object store, which holds the checkpoints. Thread-safe.
 */
public interface ObjectStore {

	/**
	 * Checks whether an object exists.
	 * @param name the name of the object
	 * @return whether the object exists, or a failed future when the store does not
	 * answer
	 */
	CompletableFuture<Boolean> exists(String name);

	/**
	 * Deletes an object. Deleting an object that does not exist is not an error.
	 * @param name the name of the object
	 * @return completes when the object is deleted
	 */
	CompletableFuture<Void> delete(String name);

}
