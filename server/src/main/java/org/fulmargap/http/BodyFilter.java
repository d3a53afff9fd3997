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
 * Reads the body and refuses bodies that are too long or too slow.
 */
final class BodyFilter implements RequestFilter {

	/**
	 * The number of bytes beyond the limit that are read and discarded, so that the
	 * caller can finish sending and receives the refusal instead of a reset connection.
	 */
	private static final long MAX_DISCARDED_BYTES = 1 << 20;

	/**
	 * The time in milliseconds within which the body must arrive, so that slow senders
	 * cannot occupy the threads of the server for long; checked after each read. Jetty's
	 * minimum data rate is not used, because it also refuses small bodies that arrive a
	 * few milliseconds after their headers.
	 */
	private static final long READ_TIMEOUT_MS = 10_000;

	private final int maxBodyBytes;

	private final LongSupplier clock;

	BodyFilter(int maxBodyBytes, LongSupplier clock) {
		this.maxBodyBytes = maxBodyBytes;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException {
		try (InputStream stream = exchange.callerRequest.body()) {
			byte[] body = read(stream, exchange.arrivedAtMs + READ_TIMEOUT_MS);
			if (exchange.callerRequest.contentLength() > this.maxBodyBytes || stream.read() >= 0) {
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
				throw new IOException("the body did not arrive within " + READ_TIMEOUT_MS + " ms");
			}
		}
		return body.toByteArray();
	}

	private static void discard(InputStream stream) throws IOException {
		byte[] buffer = new byte[8192];
		long discarded = 0;
		for (int n = 0; n >= 0 && discarded < MAX_DISCARDED_BYTES; n = stream.read(buffer)) {
			discarded += n;
		}
	}

}
