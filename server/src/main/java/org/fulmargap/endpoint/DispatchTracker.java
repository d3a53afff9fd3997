package org.fulmargap.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Follows one call to find out whether its request may have reached the endpoint.
 */
final class DispatchTracker extends EventListener {

	private final AtomicBoolean headersStarted = new AtomicBoolean();

	private volatile long progressAtMs;

	private final java.util.function.LongSupplier clock;

	DispatchTracker(java.util.function.LongSupplier clock) {
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
		this.headersStarted.set(true);
		progress();
	}

	@Override
	public void responseHeadersStart(Call call) {
		progress();
	}

	boolean mayHaveSent() {
		return this.headersStarted.get();
	}

	void progress() {
		this.progressAtMs = this.clock.getAsLong();
	}

	long progressAtMs() {
		return this.progressAtMs;
	}

}
