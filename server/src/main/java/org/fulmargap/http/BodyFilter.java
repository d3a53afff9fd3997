package org.fulmargap.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * Reads the body up to its bound.
 */
final class BodyFilter implements RequestFilter {

	/**
	 * Bytes beyond the bound that are read and dropped, so that the caller can finish
	 * sending and receives the refusal instead of a reset connection.
	 */
	private static final long DISCARD_BYTES = 1 << 20;

	private final int maxBodyBytes;

	BodyFilter(int maxBodyBytes) {
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException {
		try (InputStream stream = exchange.caller.body()) {
			byte[] body = stream.readNBytes(this.maxBodyBytes);
			if (exchange.caller.contentLength() > this.maxBodyBytes || stream.read() >= 0) {
				discard(stream);
				throw new FulmargapException(FailureType.BODY_TOO_LARGE, "BODY_TOO_LARGE",
						"the body is longer than " + this.maxBodyBytes + " bytes");
			}
			exchange.body = body;
		}
		catch (IOException ex) {
			throw new FulmargapException(FailureType.MALFORMED_REQUEST, "BODY_INCOMPLETE",
					"the body could not be read to its end", ex);
		}
		return next.proceed();
	}

	private static void discard(InputStream stream) throws IOException {
		byte[] buffer = new byte[8192];
		long discarded = 0;
		for (int n = 0; n >= 0 && discarded < DISCARD_BYTES; n = stream.read(buffer)) {
			discarded += n;
		}
	}

}
