package org.almondmount.model;

/**
 * The base class of all exceptions that almondmount throws deliberately.
 * <p>
 * The message states the remedy. {@link #location()} identifies the location of the
 * fault: a path inside a document, a field, or a peer's address.
 */
public abstract class AlmondmountException extends RuntimeException {

	private final String location;

	protected AlmondmountException(String location, String message) {
		super(location + ": " + message);
		this.location = location;
	}

	protected AlmondmountException(String location, String message, Throwable cause) {
		super(location + ": " + message, cause);
		this.location = location;
	}

	/**
	 * The location of the fault.
	 * @return a path inside a document, a field's name or an address
	 */
	public String location() {
		return this.location;
	}

}
