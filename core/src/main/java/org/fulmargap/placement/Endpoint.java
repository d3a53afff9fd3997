package org.fulmargap.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The state of an endpoint as seen by this entry VM: its record in the store, the
 * requests in flight, the loads reported by peers, and the outcomes of its calls.
 * Confined to one thread.
 */
public final class Endpoint {

	/** How long a peer's report is valid, in milliseconds: a few heartbeats. */
	private static final long REPORT_LIFETIME_MS = 1_500;

	/** The weight of the newest call in the moving average of the slowdown factor. */
	private static final double SLOWDOWN_WEIGHT = 0.25;

	/** The lower bound of a call's ratio, to limit the effect of outliers. */
	private static final double MIN_SLOWDOWN_FACTOR = 0.5;

	/** The upper bound of a call's ratio, to limit the effect of outliers. */
	private static final double MAX_SLOWDOWN_FACTOR = 20;

	/**
	 * The time in which the difference of the learned slowdown factor from 1 halves
	 * without measurements, in milliseconds. An endpoint that was 2.5 times slower gets
	 * its share of the calls again 7 s after its last call.
	 */
	private static final double SLOWDOWN_HALF_LIFE_MS = 3_000;

	/**
	 * How long other VMs may not know that a process has taken over an address, in
	 * milliseconds.
	 */
	private static final long TAKEOVER_MS = 1_000;

	/**
	 * How long a process counts as new after its first record was read, in milliseconds.
	 */
	private static final long NEW_MS = 5_000;

	private final Map<String, PeerLoad> peerLoads = new HashMap<>();

	private final PrefixCache prefixCache = new PrefixCache();

	private final EndpointHealthState health = new EndpointHealthState();

	private final ColdStartLimiter coldStartLimiter = new ColdStartLimiter();

	private final EngineSpeed engineSpeed = new EngineSpeed();

	private final TokenBucket tokens = new TokenBucket();

	private final BrittlePause brittlePause = new BrittlePause();

	private EndpointRecord record;

	private EndpointNotice notice;

	private long coldUntilMs = Long.MIN_VALUE;

	private long removeAtMs = Long.MAX_VALUE;

	private long tookOverAtMs = Long.MIN_VALUE / 2;

	private long knownSinceMs;

	private int inFlight;

	private long prefillTokens;

	private double slowdownFactor = 1;

	private long slowdownMeasuredAtMs;

	private long busyUntilMs = Long.MIN_VALUE;

	private AgedLoadNotice loadNotice;

	Endpoint(EndpointRecord record, long nowMs) {
		this(record, EndpointNotice.NONE, nowMs);
	}

	Endpoint(EndpointRecord record, EndpointNotice notice, long nowMs) {
		this.notice = notice;
		this.knownSinceMs = nowMs;
		update(record, nowMs);
	}

	/**
	 * Returns the newest record of the endpoint in the store.
	 * @return the record
	 */
	public EndpointRecord record() {
		return this.record;
	}

	void update(EndpointRecord record, long nowMs) {
		if (this.record != null && !this.record.isSameProcess(record)) {
			this.prefixCache.clear();
			this.slowdownFactor = 1;
			this.loadNotice = null;
			this.engineSpeed.clear();
			this.brittlePause.clear();
			this.knownSinceMs = nowMs;
		}
		this.record = record;
		this.removeAtMs = Long.MAX_VALUE;
		if (record.coldForMs() > 0) {
			this.coldUntilMs = nowMs + record.coldForMs();
		}
		clearTokens();
	}

	/**
	 * Returns whether the process may have started shortly before, so that it is slower
	 * than usual.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} for a while after its first record was read
	 */
	public boolean isNew(long nowMs) {
		return knownForMs(nowMs) < NEW_MS;
	}

	/**
	 * Returns for how long the process has been known.
	 * @param nowMs the current time in milliseconds
	 * @return the time since its first record was read, in milliseconds
	 */
	public long knownForMs(long nowMs) {
		return nowMs - this.knownSinceMs;
	}

	/**
	 * Records that the process has the address of an earlier one.
	 * @param nowMs the current time in milliseconds
	 */
	void takesOverAddress(long nowMs) {
		this.tookOverAtMs = nowMs;
	}

	/**
	 * Returns whether other VMs may still take the process for the earlier one at its
	 * address.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} for a while after this VM has read its first record
	 */
	public boolean isTakingOver(long nowMs) {
		return nowMs - this.tookOverAtMs < TAKEOVER_MS;
	}

	void removeAt(long removeAtMs) {
		this.removeAtMs = Math.min(this.removeAtMs, removeAtMs);
	}

	/**
	 * Returns whether the record was removed, also if the endpoint may still be used.
	 * @return {@code true} until a newer record is read
	 */
	boolean isMarkedRemoved() {
		return this.removeAtMs != Long.MAX_VALUE;
	}

	boolean isRemoved(long nowMs) {
		return nowMs >= this.removeAtMs;
	}

	EndpointNotice notice() {
		return this.notice;
	}

	void notice(EndpointNotice newNotice) {
		this.notice = newNotice;
		clearTokens();
	}

	private void clearTokens() {
		if (limitPerSecond().isEmpty()) {
			this.tokens.clear();
		}
	}

	/**
	 * Returns the rejections in a second that the process of the endpoint survives, as it
	 * named them.
	 * @return the number, or empty if the endpoint is not brittle
	 */
	public OptionalInt survivedRejections() {
		return (this.notice.isBrittle(this.record)) ? OptionalInt.of(this.notice.brittleness().rejectionsPerSecond())
				: OptionalInt.empty();
	}

	BrittlePause brittlePause() {
		return this.brittlePause;
	}

	/**
	 * Returns the rate of requests that the process of the endpoint takes from all entry
	 * VMs together, as it named it.
	 * @return the rate in requests per second, or empty if it names none
	 */
	public OptionalDouble limitPerSecond() {
		return (this.notice.isLimited(this.record)) ? OptionalDouble.of(this.notice.limit().perSecond())
				: OptionalDouble.empty();
	}

	TokenBucket tokens() {
		return this.tokens;
	}

	/**
	 * Returns why the endpoint gets no new work.
	 * @param nowMs the current time in milliseconds
	 * @return the reason, or empty if it may get new work
	 */
	public Optional<Unavailability> unavailability(long nowMs) {
		return Unavailability.of(this, nowMs);
	}

	/**
	 * Returns whether new work may be sent to the endpoint.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if no reason against it applies
	 */
	public boolean isAvailable(long nowMs) {
		return unavailability(nowMs).isEmpty();
	}

	/**
	 * Returns whether the endpoint announced in an answer that it wants no new work.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it did, also if its record is another reason
	 */
	public boolean isSetAside(long nowMs) {
		return Unavailability.isAnnounced(this, nowMs);
	}

	/**
	 * Records that the endpoint reported itself as cold in an answer.
	 * @param coldForMs how long it stays cold, in milliseconds
	 * @param nowMs the current time in milliseconds
	 */
	public void markCold(long coldForMs, long nowMs) {
		this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + coldForMs);
	}

	/**
	 * Returns whether the endpoint is cold and can handle only a low rate of requests.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it is cold
	 */
	public boolean isCold(long nowMs) {
		return nowMs < this.coldUntilMs;
	}

	boolean isWithinColdStartLimit(double perSecond, long nowMs) {
		return !isCold(nowMs) || this.coldStartLimiter.maySend(perSecond, nowMs);
	}

	/**
	 * Records that this VM sends a request.
	 * @param prompt the prompt, {@link Prompt#NONE} for plain requests
	 * @param cacheTokens the memory of the engine in tokens; 0 for other endpoints
	 * @param nowMs the current time in milliseconds
	 * @return the number of prompt tokens expected to need prefill
	 */
	public int started(Prompt prompt, long cacheTokens, long nowMs) {
		int unread = prompt.promptTokens() - Math.min(prompt.promptTokens(), this.prefixCache.cachedTokens(prompt));
		this.inFlight++;
		this.prefillTokens += unread;
		this.prefixCache.add(prompt, cacheTokens);
		this.coldStartLimiter.recordSent();
		return unread;
	}

	/**
	 * Records that a peer sent a prompt to the endpoint.
	 * @param prompt the prompt
	 * @param cacheTokens the memory of the engine in tokens
	 */
	public void peerSent(Prompt prompt, long cacheTokens) {
		this.prefixCache.add(prompt, cacheTokens);
	}

	/**
	 * Records the first event of an answer, or the end of a call without one: the prefill
	 * of the request no longer waits.
	 * @param unreadTokens the number returned by {@link #started}
	 */
	public void firstEvent(int unreadTokens) {
		this.prefillTokens = Math.max(0, this.prefillTokens - unreadTokens);
	}

	/**
	 * Records how long the first event of an engine took. Ignored while the engine is
	 * cold or new, and if the call was made to an earlier process.
	 * @param called the record of the endpoint when it was called
	 * @param measuredMs the time since the request was sent, in milliseconds
	 * @param expectedMs the value of {@link Placement#firstEventMs} before it was sent
	 * @param unreadTokens the number returned by {@link #started}
	 * @param nowMs the current time in milliseconds
	 */
	public void firstEventTook(EndpointRecord called, double measuredMs, double expectedMs, int unreadTokens,
			long nowMs) {
		if (called.isSameProcess(this.record) && !isCold(nowMs) && !isNew(nowMs)) {
			this.engineSpeed.firstEvent(measuredMs, expectedMs, unreadTokens, nowMs);
		}
	}

	EngineSpeed engineSpeed() {
		return this.engineSpeed;
	}

	/**
	 * Records that a request of this VM is no longer in flight.
	 */
	public void ended() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	/**
	 * Records a successful call. Ends a suspension and updates the slowdown factor.
	 * @param measuredMs how long it took, in milliseconds
	 * @param expectedMs how long it was expected to take, in milliseconds; 0 if unknown
	 * @param nowMs the current time in milliseconds
	 */
	public void succeeded(double measuredMs, double expectedMs, long nowMs) {
		this.health.succeeded(nowMs);
		if (expectedMs > 0) {
			// What the endpoint states needs not be learned.
			double relative = measuredMs / (expectedMs * statedFactor(nowMs));
			double ratio = Math.max(MIN_SLOWDOWN_FACTOR, Math.min(MAX_SLOWDOWN_FACTOR, relative));
			this.slowdownMeasuredAtMs = nowMs;
			this.slowdownFactor += SLOWDOWN_WEIGHT * (ratio - this.slowdownFactor);
		}
	}

	/**
	 * Records a failed call.
	 * @param suspend whether the endpoint is suspended for some time
	 * @param nowMs the current time in milliseconds
	 */
	public void failed(boolean suspend, long nowMs) {
		this.health.failed(nowMs, suspend);
	}

	/**
	 * Forgets the failed calls, because they were not the endpoint's fault.
	 */
	public void forgetFailures() {
		this.health.clear();
	}

	/**
	 * Records that the endpoint refused a call because it is busy.
	 * @param untilMs the time until which it gets no calls, in milliseconds
	 */
	public void refused(long untilMs) {
		this.busyUntilMs = Math.max(this.busyUntilMs, untilMs);
	}

	/**
	 * Returns whether the endpoint should get no calls at present.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it is suspended after failures or refused a call recently
	 */
	public boolean isSuspended(long nowMs) {
		return this.health.isSuspended(nowMs) || nowMs < this.busyUntilMs;
	}

	/**
	 * Returns the share of failures among the recent calls. It decays with time.
	 * @param nowMs the current time in milliseconds
	 * @return the share, from 0 to 1
	 */
	public double failureShare(long nowMs) {
		return this.health.failureShare(nowMs);
	}

	/**
	 * Replaces the load reported by a peer.
	 * @param peer the name of the peer
	 * @param load what it has in flight at the endpoint
	 */
	public void recordReport(String peer, PeerLoad load) {
		this.peerLoads.put(peer, load);
	}

	/**
	 * Returns the number of requests that this VM has in flight at the endpoint.
	 * @return the number of requests
	 */
	public int ownInFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the number of prompt tokens sent by this VM that wait for prefill.
	 * @return the number of tokens
	 */
	public long ownPrefillTokens() {
		return this.prefillTokens;
	}

	/**
	 * Returns the number of requests that all entry VMs have in flight at the endpoint.
	 * @param nowMs the current time in milliseconds
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
	 * Returns the number of prompt tokens of all entry VMs that wait for prefill.
	 * @param nowMs the current time in milliseconds
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
	 * Returns the moving average of the ratio of measured to expected call time. Where
	 * the endpoint states its speed, the expected time includes it.
	 * @return the ratio; 1 if the endpoint is as fast as expected, more if it is slower
	 */
	public double slowdownFactor() {
		return this.slowdownFactor;
	}

	/**
	 * Returns the slowdown factor that the endpoint stated, weighted by its age.
	 * @param nowMs the current time in milliseconds
	 * @return the factor; 1 if none was stated lately
	 */
	public double statedFactor(long nowMs) {
		return (this.loadNotice != null) ? this.loadNotice.statedFactor(nowMs) : 1;
	}

	/**
	 * Returns the slowdown factor at present: the learned one and the stated one
	 * together.
	 * @param nowMs the current time in milliseconds
	 * @return the factor; the learned one if none was stated lately
	 */
	public double slowdownFactor(long nowMs) {
		return this.slowdownFactor * statedFactor(nowMs);
	}

	/**
	 * Returns the slowdown factor to expect of the next call. It approaches 1 while no
	 * call is measured, so that an endpoint that may have recovered is tried again.
	 * @param nowMs the current time in milliseconds
	 * @return the factor
	 */
	public double expectedFactor(long nowMs) {
		double weight = Math.pow(0.5, Math.max(0, nowMs - this.slowdownMeasuredAtMs) / SLOWDOWN_HALF_LIFE_MS);
		return (1 + (this.slowdownFactor - 1) * weight) * statedFactor(nowMs);
	}

	/**
	 * Returns the slowdown factor for timeouts: the learned one and the newest stated
	 * one, however old it is, because the endpoint may still be as slow.
	 * @return the factor
	 */
	public double longestFactor() {
		return this.slowdownFactor * ((this.loadNotice != null) ? Math.max(1, this.loadNotice.statedFactor()) : 1);
	}

	/**
	 * Records the load that a process stated in a response.
	 * @param startedAtMs when the process started, in milliseconds since the epoch; the
	 * notice is ignored if this is not the process of the current record
	 * @param load the load
	 * @param nowMs the current time in milliseconds
	 */
	void recordLoad(long startedAtMs, EndpointLoadNotice load, long nowMs) {
		if (startedAtMs == this.record.startedAtMs()) {
			this.loadNotice = new AgedLoadNotice(load, nowMs);
		}
	}

	/**
	 * Returns the newest load that the process stated.
	 * @return the notice with its time, or empty if there is none; an endpoint without
	 * one is not known to be idle
	 */
	public Optional<AgedLoadNotice> loadNotice() {
		return Optional.ofNullable(this.loadNotice);
	}

	int cachedTokens(Prompt prompt) {
		return this.prefixCache.cachedTokens(prompt);
	}

	@Override
	public String toString() {
		return this.record.id();
	}

}
