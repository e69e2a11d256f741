package org.almondmount.model;

/**
 * Thrown for a value that violates a constraint of its type. The message states the
 * constraint and what to give instead.
 */
public class InvalidValueException extends AlmondmountException {

	public InvalidValueException(String location, String message) {
		super(location, message);
	}

}
