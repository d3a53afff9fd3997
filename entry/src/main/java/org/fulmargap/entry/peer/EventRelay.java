package org.fulmargap.entry.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Messages about single events, of this VM and of others, that are sent on with the next
 * heartbeats. Confined to the event loop.
 */
final class EventRelay {

	/** Further events until the next heartbeat are dropped. */
	private static final int MAX_EVENTS = 2_000;

	private final List<Event> events = new ArrayList<>();

	/**
	 * Adds an event.
	 * @param source the VM that it came from, as a neighbour of this VM
	 * @param message the message
	 */
	void add(String source, PeerMessage message) {
		if (this.events.size() < MAX_EVENTS) {
			this.events.add(new Event(source, message));
		}
	}

	/**
	 * Returns the events of some sources.
	 * @param sources the sources whose events are wanted
	 * @return the messages in the order of arrival
	 */
	List<PeerMessage> of(Predicate<String> sources) {
		return this.events.stream().filter((event) -> sources.test(event.source())).map(Event::message).toList();
	}

	/** Deletes the events, which have been sent. */
	void clear() {
		this.events.clear();
	}

	private record Event(String source, PeerMessage message) {
	}

}
