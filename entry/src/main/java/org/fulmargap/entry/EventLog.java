package org.fulmargap.entry;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes log lines of key=value pairs.
 */
public final class EventLog {

	private static final Logger LOGGER = LoggerFactory.getLogger("fulmargap");

	private EventLog() {
	}

	/**
	 * Starts a line about a request. It is logged at level INFO, which is dropped first
	 * when the log can't keep up.
	 * @param event the name of the event
	 * @param requestId the id of the request
	 * @return the line
	 */
	public static Line request(String event, String requestId) {
		return new Line(event, false).with("request", requestId);
	}

	/**
	 * Starts a line about a call that serves several requests. It is logged at level
	 * INFO, which is dropped first when the log can't keep up.
	 * @param event the name of the event
	 * @return the line
	 */
	public static Line call(String event) {
		return new Line(event, false);
	}

	/**
	 * Starts a line about a change of state of this process, a peer, an endpoint or the
	 * store. It is logged at level WARN.
	 * @param event the name of the event
	 * @return the line
	 */
	public static Line state(String event) {
		return new Line(event, true);
	}

	/**
	 * A line that is written when {@link #write} is called.
	 */
	public static final class Line {

		private final StringBuilder text = new StringBuilder(160);

		private final boolean important;

		private Line(String event, boolean important) {
			this.important = important;
			this.text.append("event=").append(event);
		}

		/**
		 * Adds a field. A value with spaces or line breaks is put in double quotes; its
		 * line breaks become spaces and its double quotes single ones.
		 * @param key the name of the field
		 * @param value its value
		 * @return this line
		 */
		public Line with(String key, Object value) {
			String shown = String.valueOf(value);
			this.text.append(' ').append(key).append('=');
			if (shown.indexOf(' ') >= 0 || shown.indexOf('\n') >= 0) {
				this.text.append('"').append(shown.replace('"', '\'').replace('\n', ' ')).append('"');
			}
			else {
				this.text.append(shown);
			}
			return this;
		}

		/**
		 * Writes the line without blocking, or drops it if the log can't keep up.
		 */
		public void write() {
			if (this.important) {
				LOGGER.warn(this.text.toString());
			}
			else {
				LOGGER.info(this.text.toString());
			}
		}

	}

}
