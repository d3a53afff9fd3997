package org.fulmargap.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * An endpoint as this entry VM knows it: its record in the store, the calls in flight,
 * what peers report and how its calls end. Confined to one thread.
 */
public final class Endpoint {

	/** A peer's report counts for this time, in milliseconds: a few heartbeats. */
	private static final long REPORT_LIFETIME_MS = 1_500;

	/** The weight of the newest call in the moving ratio of measured to expected time. */
	private static final double SLOWDOWN_WEIGHT = 0.25;

	/** The bounds of that ratio, so that one odd call doesn't decide. */
	private static final double MIN_SLOWDOWN_FACTOR = 0.5;

	private static final double MAX_SLOWDOWN_FACTOR = 20;

	private final Map<String, PeerLoad> peerLoads = new HashMap<>();

	private final PrefixCache prefixCache = new PrefixCache();

	private final EndpointHealthState health = new EndpointHealthState();

	private final ColdStartLimiter coldStartLimiter = new ColdStartLimiter();

	private EndpointRecord record;

	private long coldUntilMs = Long.MIN_VALUE;

	private long removeAtMs = Long.MAX_VALUE;

	private int inFlight;

	private long prefillTokens;

	private double slowdownFactor = 1;

	private long busyUntilMs = Long.MIN_VALUE;

	Endpoint(EndpointRecord record, long nowMs) {
		update(record, nowMs);
	}

	/**
	 * Returns the newest record of the endpoint.
	 * @return the record
	 */
	public EndpointRecord record() {
		return this.record;
	}

	void update(EndpointRecord record, long nowMs) {
		if (this.record != null && !this.record.isSameProcess(record)) {
			this.prefixCache.clear();
			this.slowdownFactor = 1;
		}
		this.record = record;
		this.removeAtMs = Long.MAX_VALUE;
		if (record.coldForMs() > 0) {
			this.coldUntilMs = nowMs + record.coldForMs();
		}
	}

	void removeAt(long removeAtMs) {
		this.removeAtMs = Math.min(this.removeAtMs, removeAtMs);
	}

	/**
	 * Tells whether new work may be sent to the endpoint.
	 * @param nowMs the present time in milliseconds
	 * @return {@code true} if it is neither draining nor gone
	 */
	public boolean isAvailable(long nowMs) {
		return !this.record.draining() && nowMs < this.removeAtMs;
	}

	/**
	 * Records what the endpoint itself says of being cold.
	 * @param coldForMs how long it stays cold, in milliseconds
	 * @param nowMs the present time in milliseconds
	 */
	public void markCold(long coldForMs, long nowMs) {
		this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + coldForMs);
	}

	/**
	 * Tells whether the endpoint is cold.
	 * @param nowMs the present time in milliseconds
	 * @return {@code true} if it bears little load
	 */
	public boolean isCold(long nowMs) {
		return nowMs < this.coldUntilMs;
	}

	boolean isWithinColdStartLimit(double perSecond, long nowMs) {
		return !isCold(nowMs) || this.coldStartLimiter.isAvailable(perSecond, nowMs);
	}

	/**
	 * Records that a request is sent.
	 * @param prompt the prompt, {@link Prompt#NONE} for plain requests
	 * @param cacheTokens the memory of the engine in tokens; 0 for other endpoints
	 * @param nowMs the present time in milliseconds
	 * @return the prompt tokens that the engine has to read
	 */
	public int started(Prompt prompt, long cacheTokens, long nowMs) {
		int unread = prompt.promptTokens() - Math.min(prompt.promptTokens(), this.prefixCache.cachedTokens(prompt));
		this.inFlight++;
		this.prefillTokens += unread;
		this.prefixCache.add(prompt, cacheTokens);
		this.coldStartLimiter.take();
		return unread;
	}

	/**
	 * Records that a peer sent a prompt to this endpoint.
	 * @param prompt the prompt
	 * @param cacheTokens the memory of the engine in tokens
	 */
	public void peerSent(Prompt prompt, long cacheTokens) {
		this.prefixCache.add(prompt, cacheTokens);
	}

	/**
	 * Records the first event of an answer.
	 * @param unreadTokens what {@link #started} returned
	 */
	public void firstEvent(int unreadTokens) {
		this.prefillTokens = Math.max(0, this.prefillTokens - unreadTokens);
	}

	/**
	 * Records that a request is no longer in flight.
	 */
	public void ended() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	/**
	 * Records a call that went well.
	 * @param measuredMs how long it took, in milliseconds
	 * @param expectedMs how long it was expected to take, in milliseconds; 0 if unknown
	 * @param nowMs the present time in milliseconds
	 */
	public void succeeded(double measuredMs, double expectedMs, long nowMs) {
		this.health.succeeded(nowMs);
		if (expectedMs > 0) {
			double ratio = Math.max(MIN_SLOWDOWN_FACTOR, Math.min(MAX_SLOWDOWN_FACTOR, measuredMs / expectedMs));
			this.slowdownFactor += SLOWDOWN_WEIGHT * (ratio - this.slowdownFactor);
		}
	}

	/**
	 * Records a call that failed.
	 * @param suspend whether the endpoint gets nothing for a while
	 * @param nowMs the present time in milliseconds
	 */
	public void failed(boolean suspend, long nowMs) {
		this.health.failed(nowMs, suspend);
	}

	/**
	 * Records that the endpoint refused a call because it is full.
	 * @param untilMs until when it gets nothing, in milliseconds
	 */
	public void refused(long untilMs) {
		this.busyUntilMs = Math.max(this.busyUntilMs, untilMs);
	}

	/**
	 * Tells whether the endpoint should get nothing for the moment.
	 * @param nowMs the present time in milliseconds
	 * @return {@code true} if calls to it failed or were refused just before
	 */
	public boolean isSuspended(long nowMs) {
		return this.health.isSuspended(nowMs) || nowMs < this.busyUntilMs;
	}

	/**
	 * Returns the share of failures among the recent calls.
	 * @param nowMs the present time in milliseconds
	 * @return the share, from 0 to 1
	 */
	public double failureShare(long nowMs) {
		return this.health.failureShare(nowMs);
	}

	/**
	 * Takes over a peer's report.
	 * @param peer the name of the peer
	 * @param load what it has in flight here
	 */
	public void recordReport(String peer, PeerLoad load) {
		this.peerLoads.put(peer, load);
	}

	/**
	 * Returns the requests in flight.
	 * @return the requests that this VM sent
	 */
	public int ownInFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the prompt tokens that wait to be read.
	 * @return the tokens that this VM sent
	 */
	public long ownPrefillTokens() {
		return this.prefillTokens;
	}

	/**
	 * Returns the requests that all entry VMs have in flight here.
	 * @param nowMs the present time in milliseconds
	 * @return the number of requests
	 */
	public int inFlight(long nowMs) {
		int sum = this.inFlight;
		for (PeerLoad load : this.peerLoads.values()) {
			sum += (nowMs - load.reportedAtMs() < REPORT_LIFETIME_MS) ? load.inFlight() : 0;
		}
		return sum;
	}

	/**
	 * Returns the prompt tokens of all entry VMs that wait to be read here.
	 * @param nowMs the present time in milliseconds
	 * @return the number of tokens
	 */
	public long prefillTokens(long nowMs) {
		long sum = this.prefillTokens;
		for (PeerLoad load : this.peerLoads.values()) {
			sum += (nowMs - load.reportedAtMs() < REPORT_LIFETIME_MS) ? load.prefillTokens() : 0;
		}
		return sum;
	}

	/**
	 * Returns the moving ratio of measured to expected time.
	 * @return 1 for an endpoint as fast as expected, more for a slower one
	 */
	public double slowdownFactor() {
		return this.slowdownFactor;
	}

	int cachedTokens(Prompt prompt) {
		return this.prefixCache.cachedTokens(prompt);
	}

	@Override
	public String toString() {
		return this.record.id();
	}

}
