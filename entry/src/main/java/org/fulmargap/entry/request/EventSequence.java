package org.fulmargap.entry.request;

import java.util.Set;

import org.fulmargap.entry.endpoint.StatusLine;

/**
 * Checks the ids of the events that a caller receives, which may come from several
 * endpoints in turn: they increase, and no event is missing where another endpoint
 * continues the stream. Endpoints number the events of a stream with increasing ids.
 */
final class EventSequence {

	private static final String ID_FIELD = "id";

	/** The only field that may stand without a colon, as an empty line of data. */
	private static final String DATA_FIELD = "data";

	private static final Set<String> EVENT_FIELDS = Set.of("data", "event", ID_FIELD, "retry");

	private static final long NONE = -1;

	private long lastId = NONE;

	private String lastIdText;

	// Whether each id so far was the one before it plus one.
	private boolean gapless = true;

	private boolean continuing;

	private long events;

	/**
	 * Checks an event and records its id. Text that consists of comments and empty lines
	 * is accepted and does not count as an event.
	 * @param event the text of the event, with the empty line at its end
	 * @return {@code false} if it is no event or does not follow the last one
	 */
	boolean accept(String event) {
		String idText = null;
		boolean hasFields = false;
		boolean afterStatusLine = false;
		for (String line : event.split("\n")) {
			int colon = line.indexOf(':');
			if (colon < 0 && !line.isBlank() && !line.strip().equals(DATA_FIELD)) {
				return false;
			}
			// An answer that stops inside an event may be followed by another one, whose
			// status line then ends the line that was cut, before its headers.
			if (afterStatusLine && colon > 0 && !EVENT_FIELDS.contains(line.substring(0, colon))) {
				return false;
			}
			afterStatusLine = StatusLine.isIn(line);
			hasFields |= colon > 0;
			if (colon > 0 && line.substring(0, colon).equals(ID_FIELD)) {
				idText = line.substring(colon + 1).trim();
			}
		}
		return !hasFields || follows(idText);
	}

	private boolean follows(String idText) {
		long id = parse(idText);
		boolean first = this.lastId == NONE;
		boolean next = id == this.lastId + 1;
		boolean gapAllowed = !this.continuing || !this.gapless;
		if (id == NONE || (!first && !next && !(gapAllowed && id > this.lastId))) {
			return false;
		}
		this.gapless &= first || next;
		this.continuing = false;
		this.events++;
		this.lastId = id;
		this.lastIdText = idText;
		return true;
	}

	private static long parse(String idText) {
		try {
			return (idText != null) ? Math.max(NONE, Long.parseLong(idText)) : NONE;
		}
		catch (NumberFormatException ex) {
			return NONE;
		}
	}

	/**
	 * Returns the number of events so far, without comments.
	 * @return the number
	 */
	long eventCount() {
		return this.events;
	}

	/**
	 * Handles that the answer of another endpoint follows, which continues the stream.
	 */
	void continueWithNextAnswer() {
		this.continuing = this.lastId != NONE;
	}

	/**
	 * Returns the id of the last event.
	 * @return the id, or {@code null} if there is no event yet
	 */
	String lastEventId() {
		return this.lastIdText;
	}

}
