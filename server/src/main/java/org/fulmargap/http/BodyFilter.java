package org.fulmargap.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.eclipse.jetty.http.BadMessageException;
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

	/**
	 * Time for the whole body, so that slow senders cannot hold the threads of the server
	 * for long. Jetty's own bound on the data rate also refuses small bodies that arrive
	 * a few milliseconds after their headers.
	 */
	private static final long READ_LIMIT_MS = 10_000;

	private final int maxBodyBytes;

	private final LongSupplier clock;

	BodyFilter(int maxBodyBytes, LongSupplier clock) {
		this.maxBodyBytes = maxBodyBytes;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException {
		try (InputStream stream = exchange.caller.body()) {
			byte[] body = read(stream, exchange.arrivedAtMs + READ_LIMIT_MS);
			if (exchange.caller.contentLength() > this.maxBodyBytes || stream.read() >= 0) {
				discard(stream);
				throw new FulmargapException(FailureType.BODY_TOO_LARGE, "BODY_TOO_LARGE",
						"the body is longer than " + this.maxBodyBytes + " bytes");
			}
			exchange.body = body;
		}
		catch (IOException | BadMessageException ex) {
			throw new FulmargapException(FailureType.MALFORMED_REQUEST, "BODY_INCOMPLETE",
					"the body could not be read to its end", ex);
		}
		return next.proceed();
	}

	private byte[] read(InputStream stream, long endMs) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		byte[] buffer = new byte[8192];
		while (body.size() < this.maxBodyBytes) {
			int n = stream.read(buffer, 0, Math.min(buffer.length, this.maxBodyBytes - body.size()));
			if (n < 0) {
				break;
			}
			body.write(buffer, 0, n);
			if (this.clock.getAsLong() > endMs) {
				throw new IOException("the body did not arrive within " + READ_LIMIT_MS + " ms");
			}
		}
		return body.toByteArray();
	}

	private static void discard(InputStream stream) throws IOException {
		byte[] buffer = new byte[8192];
		long discarded = 0;
		for (int n = 0; n >= 0 && discarded < DISCARD_BYTES; n = stream.read(buffer)) {
			discarded += n;
		}
	}

}
