package org.fulmargap.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import org.slf4j.LoggerFactory;

/**
 * Collects the log lines of all VMs of this process until it is closed.
 */
public final class LogLines extends AppenderBase<ILoggingEvent> implements AutoCloseable {

	private final Logger logger = (Logger) LoggerFactory.getLogger("fulmargap");

	private final List<String> lines = new CopyOnWriteArrayList<>();

	/**
	 * Starts to collect lines.
	 */
	public LogLines() {
		start();
		this.logger.addAppender(this);
	}

	@Override
	protected void append(ILoggingEvent event) {
		this.lines.add(event.getFormattedMessage());
	}

	/**
	 * Returns whether a line matches.
	 * @param event the name of the event
	 * @param fields a regular expression that a part of the line after the name matches
	 * @return {@code true} if there is such a line
	 */
	public boolean contain(String event, String fields) {
		return this.lines.stream().anyMatch((line) -> line.matches("event=" + event + " (.* )?" + fields + "( .*)?"));
	}

	/**
	 * Waits for a line that matches, like {@link #contain}.
	 * @param event the name of the event
	 * @param fields a regular expression that a part of the line after the name matches
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public void await(String event, String fields) throws InterruptedException {
		Installation.await(() -> contain(event, fields));
	}

	@Override
	public void close() {
		this.logger.detachAppender(this);
		stop();
	}

}
