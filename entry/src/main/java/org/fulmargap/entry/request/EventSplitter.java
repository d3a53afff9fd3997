package org.fulmargap.entry.request;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events into whole events, so that a broken stream stops,
 * or is resumed at another endpoint, after a whole event. Records the id of the last one.
 * An event ends with an empty line.
 */
final class EventSplitter {

	private static final byte NEW_LINE = '\n';

	private static final byte CARRIAGE_RETURN = '\r';

	private final ByteBuf pending = Unpooled.buffer(0);

	private int scanned;

	private boolean lineIsEmpty;

	private String lastEventId;

	/**
	 * Returns the size of the partial event at the end of the stream so far.
	 * @return the number of bytes
	 */
	int partialBytes() {
		return this.pending.readableBytes();
	}

	/**
	 * Adds bytes of the stream.
	 * @param content the bytes
	 * @return the events that are complete now, or {@code null} if there are none
	 */
	ByteBuf add(ByteBuf content) {
		this.pending.writeBytes(content);
		int end = endOfLastEvent();
		if (end == 0) {
			return null;
		}
		ByteBuf events = Unpooled.copiedBuffer(this.pending.slice(this.pending.readerIndex(), end));
		recordLastId(events);
		this.pending.skipBytes(end);
		this.pending.discardReadBytes();
		this.scanned -= end;
		return events;
	}

	private int endOfLastEvent() {
		int end = 0;
		while (this.scanned < this.pending.readableBytes()) {
			byte next = this.pending.getByte(this.pending.readerIndex() + this.scanned);
			this.scanned++;
			if (next == NEW_LINE) {
				end = (this.lineIsEmpty) ? this.scanned : end;
				this.lineIsEmpty = true;
			}
			else if (next != CARRIAGE_RETURN) {
				this.lineIsEmpty = false;
			}
		}
		return end;
	}

	private void recordLastId(ByteBuf events) {
		for (String line : events.toString(StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith("id:")) {
				this.lastEventId = line.substring("id:".length()).trim();
			}
		}
	}

	/**
	 * Discards the partial event at the end of a broken stream.
	 */
	void reset() {
		this.pending.clear();
		this.scanned = 0;
		this.lineIsEmpty = false;
	}

	/**
	 * Returns the id of the last whole event that has one.
	 * @return the id, or {@code null} if there is none yet
	 */
	String lastEventId() {
		return this.lastEventId;
	}

}
