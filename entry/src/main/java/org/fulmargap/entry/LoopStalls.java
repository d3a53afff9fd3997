package org.fulmargap.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

/**
 * The stalls of an event loop, for example because the process had no CPU time. Confined
 * to that loop.
 */
public final class LoopStalls {

	/** Shorter stalls are not logged, in milliseconds. */
	private static final long MIN_LOGGED_MS = 300;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final StallMeter meter = new StallMeter();

	/**
	 * Creates an instance that measures from now on.
	 * @param loop the event loop
	 * @param clockMs the current time in milliseconds
	 */
	public LoopStalls(EventLoop loop, LongSupplier clockMs) {
		this.loop = loop;
		this.clockMs = clockMs;
		loop.scheduleWithFixedDelay(this::tick, 0, StallMeter.INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		long nowMs = this.clockMs.getAsLong();
		long stallMs = this.meter.ticked(nowMs);
		if (stallMs > 0) {
			afterPoll(() -> this.meter.polled(nowMs));
		}
		if (stallMs >= MIN_LOGGED_MS) {
			EventLog.state("loop_stalled").with("stall_ms", stallMs).write();
		}
	}

	/**
	 * Returns how long bytes that are read now may have lain unread because of a stall.
	 * @return the time in milliseconds; 0 if the loop was not stalled
	 */
	public long unreadMs() {
		return this.meter.unreadMs(this.clockMs.getAsLong());
	}

	/**
	 * Returns whether the ends of connections may be unread because of a stall.
	 * @return {@code true} if the loop was stalled shortly before
	 */
	public boolean isRecent() {
		return this.meter.recentStallMs(this.clockMs.getAsLong()) > 0;
	}

	/**
	 * Runs an action after the loop has read what has arrived by now.
	 * @param action the action
	 */
	public void afterPoll(Runnable action) {
		// The first task may run in this turn of the loop. The loop polls its connections
		// at the start of each turn, and so before it runs the second one.
		this.loop.schedule(() -> this.loop.schedule(action, 1, TimeUnit.MILLISECONDS), 1, TimeUnit.MILLISECONDS);
	}

}
