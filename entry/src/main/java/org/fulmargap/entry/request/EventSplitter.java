package org.fulmargap.entry.request;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events into whole events, so that a broken stream stops,
 * or is resumed at another endpoint, after a whole event. An event ends with an empty
 * line. Bytes after an event that is not valid in its place are not read.
 */
final class EventSplitter {

	private static final byte NEW_LINE = '\n';

	private static final byte CARRIAGE_RETURN = '\r';

	/** What the buffer may have unused after a whole event, in bytes. */
	private static final int MAX_UNUSED_BYTES = 8_192;

	private ByteBuf pending = Unpooled.buffer(0);

	private int scanned;

	private boolean lineIsEmpty;

	private final EventSequence sequence = new EventSequence();

	private boolean malformed;

	// The comments since the last event.
	private long commentBytes;

	private int partsSinceEvent;

	/**
	 * Returns the size of the partial event at the end of the stream so far.
	 * @return the number of bytes
	 */
	int partialBytes() {
		return this.pending.readableBytes();
	}

	/**
	 * Returns the memory that the splitter holds.
	 * @return the number of bytes
	 */
	int heldBytes() {
		return this.pending.capacity();
	}

	/**
	 * Returns how much the endpoint has sent since the last whole event, comments
	 * included.
	 * @return the number of bytes
	 */
	long bytesSinceEvent() {
		return this.commentBytes + this.pending.readableBytes();
	}

	/**
	 * Returns in how many parts the bytes since the last whole event arrived.
	 * @return the number of parts
	 */
	int partsSinceEvent() {
		return this.partsSinceEvent;
	}

	/**
	 * Adds bytes of the stream. Comments are dropped.
	 * @param content the bytes
	 * @return the valid events that are complete now, or {@code null} if there are none
	 */
	ByteBuf add(ByteBuf content) {
		this.pending.writeBytes(content);
		this.partsSinceEvent++;
		ByteBuf events = Unpooled.buffer(0);
		int begin = 0;
		int end = endOfNextEvent();
		while (end > 0) {
			long eventsBefore = this.sequence.eventCount();
			this.malformed = !this.sequence.accept(text(begin, end));
			if (this.malformed) {
				break;
			}
			if (this.sequence.eventCount() > eventsBefore) {
				events.writeBytes(this.pending, this.pending.readerIndex() + begin, end - begin);
				this.commentBytes = 0;
				this.partsSinceEvent = 0;
			}
			else {
				this.commentBytes += end - begin;
			}
			begin = end;
			end = endOfNextEvent();
		}
		discard(begin);
		return (events.isReadable()) ? events : null;
	}

	private int endOfNextEvent() {
		while (!this.malformed && this.scanned < this.pending.readableBytes()) {
			byte next = this.pending.getByte(this.pending.readerIndex() + this.scanned);
			this.scanned++;
			if (next == NEW_LINE && this.lineIsEmpty) {
				return this.scanned;
			}
			if (next != CARRIAGE_RETURN) {
				this.lineIsEmpty = next == NEW_LINE;
			}
		}
		return 0;
	}

	private String text(int begin, int end) {
		return this.pending.toString(this.pending.readerIndex() + begin, end - begin, StandardCharsets.UTF_8);
	}

	private void discard(int length) {
		this.pending.skipBytes(length);
		this.scanned -= length;
		int partialBytes = partialBytes();
		if (length > 0 && this.pending.capacity() - partialBytes > MAX_UNUSED_BYTES) {
			this.pending = Unpooled.buffer(partialBytes).writeBytes(this.pending);
		}
		else {
			this.pending.discardReadBytes();
		}
	}

	/**
	 * Returns whether the stream contains something that is no event, or an event that
	 * does not follow the last one.
	 * @return {@code true} if the endpoint's answer must not be read any further
	 */
	boolean isMalformed() {
		return this.malformed;
	}

	/**
	 * Discards the partial event at the end of a broken stream. The answer of another
	 * endpoint follows.
	 */
	void reset() {
		this.pending = Unpooled.buffer(0);
		this.scanned = 0;
		this.lineIsEmpty = false;
		this.malformed = false;
		this.commentBytes = 0;
		this.partsSinceEvent = 0;
		this.sequence.continueWithNextAnswer();
	}

	/**
	 * Returns the id of the last whole event that has one.
	 * @return the id, or {@code null} if there is none yet
	 */
	String lastEventId() {
		return this.sequence.lastEventId();
	}

}
