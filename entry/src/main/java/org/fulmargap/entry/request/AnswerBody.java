package org.fulmargap.entry.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.fulmargap.entry.endpoint.AnswerMemory;

/**
 * The body of an endpoint's answer as far as it is received, and the memory that it
 * holds. The body of a stream is passed on in parts and not kept. Confined to the event
 * loop.
 */
final class AnswerBody implements AutoCloseable {

	/** The size of the largest body that is kept, in bytes. */
	private static final int MAX_BYTES = 8 << 20;

	/** An answer that is kept has at most this number of parts. */
	private static final int MAX_PARTS = 100_000;

	private static final int INITIAL_BYTES = 1_024;

	private final HttpResponse head;

	private final long statedBytes;

	// Null for a stream. One array, because a buffer for each part takes far more memory
	// than a part of a few bytes.
	private final ByteBuf kept;

	private final AnswerMemory.Share memory;

	private long receivedBytes;

	private int parts;

	/**
	 * Creates an empty body.
	 * @param head the head of the answer
	 * @param isStream whether the body is passed on in parts
	 * @param memory the memory for answers
	 * @param listener hears when the answer has to wait for memory
	 */
	AnswerBody(HttpResponse head, boolean isStream, AnswerMemory memory, AnswerMemory.Listener listener) {
		this.head = head;
		this.statedBytes = HttpUtil.getContentLength(head, -1L);
		this.kept = (isStream) ? null : Unpooled.buffer(INITIAL_BYTES);
		this.memory = memory.share(!isStream && this.statedBytes >= 0, listener);
	}

	boolean isStream() {
		return this.kept == null;
	}

	void countReceived(ByteBuf content) {
		this.receivedBytes += content.readableBytes();
	}

	/**
	 * Keeps a part of a body that is no stream.
	 * @param content the bytes, which are copied
	 * @return {@code false} if the answer must be given up, because it or all answers
	 * together are too large
	 */
	boolean keep(ByteBuf content) {
		this.parts++;
		long wholeBytes = Math.max(this.statedBytes, (long) this.kept.readableBytes() + content.readableBytes());
		if (wholeBytes > MAX_BYTES || this.parts > MAX_PARTS) {
			return false;
		}
		this.kept.writeBytes(content);
		return hold(this.kept.capacity());
	}

	/**
	 * Records the memory that the answer holds now.
	 * @param bytes the number of bytes
	 * @return {@code false} if the answer must be given up
	 */
	boolean hold(long bytes) {
		return this.memory.hold(bytes);
	}

	/**
	 * Returns a whole body that is no stream.
	 * @return the body, which the receiver releases
	 */
	ByteBuf whole() {
		return this.kept;
	}

	/**
	 * Returns the headers for the caller.
	 * @param isHead whether the caller asked only for the head, so that the length that
	 * the endpoint states is passed on
	 * @return the headers
	 */
	HttpHeaders headersForCaller(boolean isHead) {
		HttpHeaders headers = CallerMessage.toCaller(this.head.headers());
		if (isHead && this.statedBytes >= 0) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, this.statedBytes);
		}
		return headers;
	}

	HttpResponse head() {
		return this.head;
	}

	long receivedBytes() {
		return this.receivedBytes;
	}

	/**
	 * Returns by what the end of the body is known, for the log.
	 * @return chunks, length, connection, or none for an answer without a body
	 */
	String framing() {
		if (HttpUtil.isTransferEncodingChunked(this.head)) {
			return "chunks";
		}
		if (this.statedBytes >= 0) {
			return "length";
		}
		return (this.receivedBytes > 0) ? "connection" : "none";
	}

	/**
	 * Releases the share of the memory for answers, not the kept bytes.
	 */
	@Override
	public void close() {
		this.memory.close();
	}

}
