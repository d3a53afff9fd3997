package org.fulmargap.entry.request;

import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Future;
import org.fulmargap.catalog.Route;

/**
 * Notices that an endpoint is silent for too long, so that another endpoint can take its
 * call over. Calls whose request can't run again have no timeout of their own. Confined
 * to the event loop.
 */
final class ResponseTimer implements AutoCloseable {

	/**
	 * A call without a streaming response times out after the average duration of calls
	 * to its service, multiplied by this factor.
	 */
	private static final double RESPONSE_TIMEOUT_FACTOR = 4;

	/** The shortest timeout of such a call, in milliseconds. */
	private static final long MIN_RESPONSE_TIMEOUT_MS = 120;

	/**
	 * When no whole event of a stream arrives for this time, in milliseconds, its
	 * endpoint is probed. If it is not reachable, the call times out, so that another
	 * endpoint can continue the stream.
	 */
	private static final long STREAM_SILENCE_MS = 1_500;

	/**
	 * How much longer the stream may be silent if its endpoint is reachable, in
	 * milliseconds: it may only be slow.
	 */
	private static final long STREAM_STALLED_MS = 2_000;

	private final RequestServices services;

	private final boolean enabled;

	private final boolean streaming;

	private final String service;

	private final String address;

	private final Listener listener;

	private Future<?> timer;

	private boolean closed;

	/**
	 * Creates a timer that does not run yet.
	 * @param services the objects that all requests share
	 * @param route the route of the request
	 * @param runs the number of runs of the request before this call
	 * @param service the service of the endpoint
	 * @param address the address of the endpoint as {@code IP:port}
	 * @param listener hears of silence
	 */
	ResponseTimer(RequestServices services, Route route, int runs, String service, String address, Listener listener) {
		this.services = services;
		this.enabled = route.isRetryable() && runs + 1 < route.maxAttempts();
		this.streaming = route.kind().isStreaming();
		this.service = service;
		this.address = address;
		this.listener = listener;
	}

	/**
	 * Starts the timer if it does not run.
	 */
	void start() {
		if (!this.enabled || this.closed || this.timer != null) {
			return;
		}
		if (this.streaming) {
			schedule(this::probeSilentStream, STREAM_SILENCE_MS);
			return;
		}
		double expectedMs = this.services.serviceTimes().expectedMs(this.service);
		schedule(() -> this.listener.silent(true),
				(long) Math.max(MIN_RESPONSE_TIMEOUT_MS, expectedMs * RESPONSE_TIMEOUT_FACTOR));
	}

	private void schedule(Runnable timeout, long delayMs) {
		this.timer = this.services.loop().schedule(timeout, delayMs, TimeUnit.MILLISECONDS);
	}

	private void probeSilentStream() {
		Future<?> silence = this.timer;
		this.services.pool().probe(this.address, (reachable) -> {
			boolean stillSilent = !this.closed && this.timer == silence;
			if (stillSilent && reachable) {
				schedule(() -> this.listener.silent(true), STREAM_STALLED_MS);
			}
			else if (stillSilent) {
				this.listener.silent(false);
			}
		});
	}

	/**
	 * Starts the timer anew if it runs.
	 */
	void restart() {
		if (this.timer != null) {
			stop();
			start();
		}
	}

	/**
	 * Stops the timer until it is started again.
	 */
	void stop() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	@Override
	public void close() {
		this.closed = true;
		stop();
	}

	/**
	 * Hears that an endpoint is silent for too long.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Ends the call, or starts the timer anew.
		 * @param reachable {@code false} if the endpoint accepts no connection
		 */
		void silent(boolean reachable);

	}

}
