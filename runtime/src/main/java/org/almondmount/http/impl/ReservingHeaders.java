package org.almondmount.http.impl;

import java.util.function.LongPredicate;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Headers that reserve memory for each field as it is decoded. A few kilobytes of empty
 * fields take up a hundred times as much once they are decoded.
 */
final class ReservingHeaders extends DefaultHttpHeaders {

	/** Memory of a decoded field besides its text, rounded up. */
	private static final int FIELD_OVERHEAD_BYTES = 128;

	private final LongPredicate reserve;

	private ReservingHeaders(LongPredicate reserve) {
		this.reserve = reserve;
	}

	/**
	 * Creates a factory of headers for the decoder.
	 * @param reserve reserves a number of bytes and returns false if there is not enough
	 * memory
	 * @return the factory
	 */
	static HttpHeadersFactory factory(LongPredicate reserve) {
		return new HttpHeadersFactory() {

			@Override
			public HttpHeaders newHeaders() {
				return new ReservingHeaders(reserve);
			}

			@Override
			public HttpHeaders newEmptyHeaders() {
				return new ReservingHeaders(reserve);
			}

		};
	}

	@Override
	public HttpHeaders add(String name, Object value) {
		reserveField();
		return super.add(name, value);
	}

	@Override
	public HttpHeaders add(CharSequence name, Object value) {
		reserveField();
		return super.add(name, value);
	}

	private void reserveField() {
		if (!this.reserve.test(FIELD_OVERHEAD_BYTES)) {
			throw new MemoryExceededException();
		}
	}

	/**
	 * Thrown when there is not enough memory for a field.
	 */
	static final class MemoryExceededException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		MemoryExceededException() {
			super("the memory for calls is used up");
		}

	}

}
