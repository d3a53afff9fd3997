package org.fulmargap.endpoint;

import java.util.function.LongSupplier;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Follows one call to find out whether its request may have reached the endpoint.
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
	 * The request headers are written next, on a connection that is established.
	 * Everything before this event, such as a refused connection, sends nothing of the
	 * request.
	 */
	@Override
	public void requestHeadersStart(Call call) {
		this.sentAtMs = this.clock.getAsLong();
		this.progressAtMs = this.sentAtMs;
		this.headersStarted = true;
	}

	@Override
	public void responseHeadersStart(Call call) {
		progress();
	}

	boolean mayHaveSent() {
		return this.headersStarted;
	}

	/**
	 * Returns when the request was sent.
	 * @return milliseconds since the epoch, meaningful only if something may have been
	 * sent
	 */
	long sentAtMs() {
		return this.sentAtMs;
	}

	void progress() {
		this.progressAtMs = this.clock.getAsLong();
	}

	long progressAtMs() {
		return this.progressAtMs;
	}

}
