package org.fulmargap.entry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Sets up the log of an entry VM on standard output. Logback finds this class as a
 * service. Code starts faster than a configuration file, which needs an XML parser.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {

	private static final String PATTERN = "at=%d{HH:mm:ss.SSS} level=%level %msg%n";

	/** The number of lines that wait to be written; further ones are dropped. */
	private static final int QUEUE_LINES = 2_048;

	/** With fewer free places than this, lines at level INFO are dropped. */
	private static final int DISCARD_BELOW_LINES = 512;

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		ConsoleAppender<ILoggingEvent> console = console(context);
		AsyncAppender async = new AsyncAppender();
		async.setContext(context);
		async.setQueueSize(QUEUE_LINES);
		async.setDiscardingThreshold(DISCARD_BELOW_LINES);
		async.setNeverBlock(true);
		async.addAppender(console);
		async.start();
		context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
		context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(async);
		context.getLogger("io.netty").setLevel(Level.WARN);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

	private static ConsoleAppender<ILoggingEvent> console(LoggerContext context) {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(context);
		encoder.setPattern(PATTERN);
		encoder.start();
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setEncoder(encoder);
		console.start();
		return console;
	}

}
