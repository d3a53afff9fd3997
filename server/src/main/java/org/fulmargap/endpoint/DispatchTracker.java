package org.fulmargap.endpoint;

import java.util.function.LongSupplier;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records the progress of one call, to determine whether its request may have reached the
 * endpoint.
 */
final class DispatchTracker extends EventListener {

	private final LongSupplier clock;

	private volatile boolean headersStarted;

	private volatile long sentAtMs;

	private volatile long progressAtMs;

	DispatchTracker(LongSupplier clock) {
		this.clock = clock;
		this.progressAtMs = clock.getAsLong();
	}

	/**
	 * Called just before the request headers are written to an established connection. A
	 * call that fails before this event, for example because the connection is refused,
	 * has sent nothing of the request.
	 */
	@Override
	public void requestHeadersStart(Call call) {
		this.sentAtMs = this.clock.getAsLong();
		this.progressAtMs = this.sentAtMs;
		this.headersStarted = true;
	}

	@Override
	public void responseHeadersStart(Call call) {
		recordProgress();
	}

	boolean mayHaveSent() {
		return this.headersStarted;
	}

	/**
	 * Returns the time at which sending of the request began.
	 * @return milliseconds since the epoch, zero if nothing was sent
	 */
	long sentAtMs() {
		return this.sentAtMs;
	}

	void recordProgress() {
		this.progressAtMs = this.clock.getAsLong();
	}

	long progressAtMs() {
		return this.progressAtMs;
	}

}
