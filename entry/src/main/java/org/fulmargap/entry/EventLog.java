package org.fulmargap.entry;

import java.time.LocalTime;
import java.time.format.DateTimeFormatter;
import java.util.regex.Pattern;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes log lines of key=value pairs.
 */
public final class EventLog {

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");

	private EventLog() {
	}

	/**
	 * Cuts a long text.
	 * @param text the text
	 * @param maxLength the length of the longest text that is kept whole, in characters
	 * @return the text, or its beginning and three dots
	 */
	public static String cut(String text, int maxLength) {
		return (text.length() > maxLength) ? text.substring(0, maxLength) + "..." : text;
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

		/** The length of the longest value that is shown whole, in characters. */
		private static final int MAX_VALUE_LENGTH = 500;

		/** Control and format characters, line and paragraph separators. */
		private static final Pattern CONTROL = Pattern.compile("[\\p{Cc}\\p{Cf}\\p{Zl}\\p{Zp}]");

		private final StringBuilder text = new StringBuilder(160);

		private final boolean important;

		private Line(String event, boolean important) {
			this.important = important;
			this.text.append("event=").append(event);
		}

		/**
		 * Adds a field. An empty value and one with other characters than printable ASCII
		 * or with spaces or double quotes is put in double quotes; its control characters
		 * become spaces, its double quotes single ones and its backslashes double ones. A
		 * long value is cut.
		 * @param key the name of the field
		 * @param value its value
		 * @return this line
		 */
		public Line with(String key, Object value) {
			String shown = cut(String.valueOf(value), MAX_VALUE_LENGTH);
			this.text.append(' ').append(key).append('=');
			if (shown.isEmpty() || !isPlain(shown)) {
				String plain = CONTROL.matcher(shown).replaceAll(" ").replace('"', '\'').replace("\\", "\\\\");
				this.text.append('"').append(plain).append('"');
			}
			else {
				this.text.append(shown);
			}
			return this;
		}

		private static boolean isPlain(String text) {
			return text.chars().allMatch((unit) -> unit > ' ' && unit <= '~' && unit != '"');
		}

		/**
		 * Writes the line without blocking, or drops it if the log can't keep up.
		 */
		public void write() {
			if (this.important) {
				Output.LOGGER.warn(this.text.toString());
			}
			else {
				Output.LOGGER.info(this.text.toString());
			}
		}

		/**
		 * Writes the line to standard error without blocking. It is there even if the
		 * process is killed soon after.
		 */
		void writeDirect() {
			DirectLog.STANDARD_ERROR.write(direct());
		}

		/**
		 * Writes the line to standard error before the process ends. Waits only for a
		 * bounded time if standard error can't take it.
		 */
		void writeLast() {
			DirectLog.STANDARD_ERROR.writeAndWait(direct());
		}

		private String direct() {
			return "at=" + LocalTime.now().format(TIME) + " level=WARN " + this.text;
		}

		@Override
		public String toString() {
			return this.text.toString();
		}

	}

	// Loaded with the first line that goes through the logging library, which takes long
	// to start.
	private static final class Output {

		private static final Logger LOGGER = LoggerFactory.getLogger("fulmargap");

	}

}
