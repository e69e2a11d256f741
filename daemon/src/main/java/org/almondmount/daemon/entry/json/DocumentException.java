package org.almondmount.daemon.entry.json;

import org.almondmount.model.AlmondmountException;

/**
 * A document that could not be read; the location is a path with line and column.
 */
public class DocumentException extends AlmondmountException {

	public DocumentException(String location, String message) {
		super(location, message);
	}

}
