package org.fulmargap.entry.request;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts a stream into whole events, so that a caller never gets a part of one, and notes
 * the identity of the last event. An event ends with an empty line.
 */
final class EventSplitter {

	private static final byte NEW_LINE = '\n';

	private static final byte CARRIAGE_RETURN = '\r';

	private final ByteBuf pending = Unpooled.buffer(256);

	private int scanned;

	private boolean lineIsEmpty;

	private String lastEventId;

	/**
	 * Takes bytes of the stream.
	 * @param content the bytes
	 * @return the whole events that are there now, or {@code null} if there are none
	 */
	ByteBuf add(ByteBuf content) {
		this.pending.writeBytes(content);
		int end = endOfLastEvent();
		if (end == 0) {
			return null;
		}
		ByteBuf events = Unpooled.copiedBuffer(this.pending.slice(this.pending.readerIndex(), end));
		noteLastId(events);
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

	private void noteLastId(ByteBuf events) {
		for (String line : events.toString(StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith("id:")) {
				this.lastEventId = line.substring("id:".length()).trim();
			}
		}
	}

	/**
	 * Returns the bytes after the last whole event.
	 * @return the bytes
	 */
	ByteBuf rest() {
		ByteBuf rest = Unpooled.copiedBuffer(this.pending);
		reset();
		return rest;
	}

	/**
	 * Forgets the part of an event that a broken stream left behind.
	 */
	void reset() {
		this.pending.clear();
		this.scanned = 0;
		this.lineIsEmpty = false;
	}

	/**
	 * Returns the identity of the last whole event.
	 * @return the identity, or {@code null} before the first event
	 */
	String lastEventId() {
		return this.lastEventId;
	}

}
