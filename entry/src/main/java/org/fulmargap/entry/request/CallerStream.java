package org.fulmargap.entry.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.fulmargap.entry.caller.CallerExchange;

/**
 * The stream of events that a caller receives. It starts with the answer of one endpoint
 * and may be continued by others. Confined to the event loop.
 */
final class CallerStream {

	private final CallerExchange exchange;

	private final EventSplitter events = new EventSplitter();

	private boolean begun;

	/**
	 * Creates a stream.
	 * @param exchange receives the events
	 */
	CallerStream(CallerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Returns whether the caller has received the head of the stream.
	 * @return {@code true} after the first whole event
	 */
	boolean hasBegun() {
		return this.begun;
	}

	/**
	 * Returns the id of the last event that the caller received.
	 * @return the id, or {@code null} if there is none yet
	 */
	String lastEventId() {
		return this.events.lastEventId();
	}

	/**
	 * Returns how much the endpoint has sent since the last whole event.
	 * @return the number of bytes
	 */
	long bytesSinceEvent() {
		return this.events.bytesSinceEvent();
	}

	/**
	 * Returns in how many parts the bytes since the last whole event arrived.
	 * @return the number of parts
	 */
	int partsSinceEvent() {
		return this.events.partsSinceEvent();
	}

	/**
	 * Returns the memory that the partial event at the end holds.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return this.events.heldBytes();
	}

	/**
	 * Forwards the events that are complete now.
	 * @param content the next bytes of an endpoint's answer
	 * @param head the head of this answer; the caller receives the one of the first
	 * answer that has a whole event
	 * @return whether there were whole events
	 */
	boolean forward(ByteBuf content, HttpResponse head) {
		ByteBuf wholeEvents = this.events.add(content);
		if (wholeEvents == null) {
			return false;
		}
		if (!this.begun) {
			this.begun = true;
			this.exchange.begin(head.status().code(), CallerMessage.toCaller(head.headers()));
		}
		this.exchange.write(wholeEvents);
		return true;
	}

	/**
	 * Discards the partial event of an answer that broke off.
	 */
	void discardPartialEvent() {
		this.events.reset();
	}

	/**
	 * Returns whether the endpoint's answer contains something that does not continue the
	 * stream.
	 * @return {@code true} if the answer must not be read any further
	 */
	boolean isMalformed() {
		return this.events.isMalformed();
	}

	/**
	 * Returns whether the stream may end here.
	 * @return {@code false} if it has no event yet or ends inside one
	 */
	boolean mayEnd() {
		return this.begun && this.events.partialBytes() == 0;
	}

	/**
	 * Completes the stream.
	 */
	void end() {
		this.exchange.end();
	}

}
