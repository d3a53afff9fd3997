package org.fulmargap.entry.endpoint;

import io.netty.buffer.ByteBuf;

/**
 * Recognises a body that holds an answer. An endpoint that stops in the body of one
 * answer and goes on with another one sends the second in the place of the rest of the
 * first.
 */
final class JoinedBody {

	private static final String STATUS_LINE = "HTTP/1.1 ";

	private final ByteSearch statusLine = new ByteSearch(STATUS_LINE);

	private final ByteSearch id;

	/**
	 * Creates a search in one body.
	 * @param attemptId the id of the call in flight, which each answer to it has
	 */
	JoinedBody(String attemptId) {
		this.id = (attemptId.isEmpty()) ? null : new ByteSearch(attemptId);
	}

	/**
	 * Adds a part of the body.
	 * @param content the part, which is not read
	 * @return {@code true} if the body so far has a status line and, after it, the id
	 */
	boolean add(ByteBuf content) {
		if (this.id == null) {
			return false;
		}
		int end = this.statusLine.search(content, content.readerIndex());
		if (this.statusLine.isFound()) {
			this.id.search(content, end);
		}
		return this.id.isFound();
	}

	/**
	 * Returns whether the bytes behind the end of the body go on with an answer that
	 * begins inside it. An answer that begins behind the body does not matter.
	 * @param next the bytes that were received with the end of the body, which are not
	 * read
	 * @return {@code true} if the id follows there on the status line
	 */
	boolean goesOnIn(ByteBuf next) {
		int end = (this.id != null) ? this.statusLine.endIn(next) : -1;
		if (end < 0) {
			return false;
		}
		this.id.search(next, end);
		return this.id.isFound();
	}

}
