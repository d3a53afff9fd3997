package org.fulmargap.routing;

import org.fulmargap.config.EndpointSpec;

/**
 * Reservation made by {@link AdaptiveRouter}.
 */
final class Lease implements Reservation {

	private final Object lock;

	private final EndpointState state;

	private final RouteRequest request;

	private final ServiceStats stats;

	private final boolean probe;

	private final SlowStart slowStart;

	private final long sentAtMs;

	private final EndpointSpec spec;

	private boolean recorded;

	private boolean closed;

	Lease(Object lock, EndpointState state, RouteRequest request, ServiceStats stats, boolean probe,
			SlowStart slowStart, long sentAtMs) {
		this.lock = lock;
		this.state = state;
		this.request = request;
		this.stats = stats;
		this.probe = probe;
		this.slowStart = slowStart;
		this.sentAtMs = sentAtMs;
		this.spec = state.spec();
	}

	long sentAtMs() {
		return this.sentAtMs;
	}

	@Override
	public String endpoint() {
		return this.state.name();
	}

	@Override
	public EndpointSpec spec() {
		return this.spec;
	}

	@Override
	public void succeeded(long durationMs, int cachedTokens, String incarnation, long nowMs) {
		int uncachedTokens = Math.max(0, this.request.promptTokens() - cachedTokens);
		synchronized (this.lock) {
			if (this.recorded) {
				return;
			}
			this.recorded = true;
			this.state.succeeded(durationMs, uncachedTokens, this.stats, incarnation, this.sentAtMs, this.slowStart,
					nowMs);
			if (!this.request.prefixKey().isEmpty()) {
				this.state.prefixes()
					.recordAnswer(this.request.prefixKey(), this.request.promptTokens(), cachedTokens, nowMs);
			}
		}
		this.stats.add(durationMs, uncachedTokens);
	}

	@Override
	public void failed(CallFailure failure, long nowMs) {
		synchronized (this.lock) {
			if (!this.recorded) {
				this.recorded = true;
				this.state.failed(failure, this.probe, this.stats, this.sentAtMs, this.slowStart, nowMs);
			}
		}
	}

	@Override
	public void close() {
		synchronized (this.lock) {
			if (!this.closed) {
				this.closed = true;
				this.state.release(this, this.request.isolated(), this.probe);
			}
		}
	}

}
