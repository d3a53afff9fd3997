package org.fulmargap.routing;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.fulmargap.config.EndpointSpec;

/**
 * State of one endpoint as seen by one entry VM. Guarded by the lock of its shard.
 */
final class EndpointState {

	/** A load report older than this no longer shows the free capacity. */
	private static final long REPORT_VALID_MS = 2_000;

	/** An endpoint that was unavailable for at least this time was probably restarted. */
	private static final long MIN_RESTART_OUTAGE_MS = 2_000;

	/**
	 * A leaving endpoint that stays in the configuration gets requests again after this
	 * time.
	 */
	private static final long LEAVING_RETRY_MS = 10_000;

	/**
	 * A call that takes longer than this multiple of the median marks the endpoint as
	 * slow.
	 */
	private static final int SLOW_CALL_FACTOR = 2;

	/**
	 * Half-life of the slowdown of an endpoint without new results. A slow endpoint may
	 * have recovered, so it gets requests again.
	 */
	private static final long SLOWDOWN_HALF_LIFE_MS = 10_000;

	/**
	 * A slowdown below this multiple of the median is ignored, because it comes from
	 * different lengths of the answers.
	 */
	private static final double MIN_SLOWDOWN_FACTOR = 0.5;

	private static final int MAX_PREFIXES = 512;

	/**
	 * Weight of the load in the cost, so that the less loaded of two otherwise equal
	 * endpoints is chosen.
	 */
	private static final double LOAD_WEIGHT = 0.02;

	private final String name;

	private final EndpointHealth health = new EndpointHealth();

	private final WarmUp warmUp;

	private final PrefixAffinity prefixes = new PrefixAffinity(MAX_PREFIXES);

	private final DurationWindow recentDurations = new DurationWindow(8);

	private long lastResultMs;

	private double timeoutExcessMs;

	private EndpointSpec spec;

	private MemberView members;

	private int rank;

	private int inFlight;

	private int isolatedInFlight;

	private final Set<Lease> leases = new LinkedHashSet<>();

	private boolean available = true;

	private long unavailableSinceMs;

	private long leavingUntilMs = Long.MIN_VALUE;

	private boolean connectFailed;

	private LoadReport report;

	private long reportReceivedMs;

	private int inFlightAtReport;

	EndpointState(String name, EndpointSpec spec, MemberView members, boolean observed, long nowMs) {
		this.name = name;
		this.spec = spec;
		setMembers(members);
		this.warmUp = new WarmUp(observed, nowMs);
	}

	String name() {
		return this.name;
	}

	EndpointSpec spec() {
		return this.spec;
	}

	WarmUp warmUp() {
		return this.warmUp;
	}

	PrefixAffinity prefixes() {
		return this.prefixes;
	}

	void update(EndpointSpec spec, MemberView members, boolean available, long nowMs) {
		this.spec = spec;
		if (!members.equals(this.members)) {
			setMembers(members);
		}
		if (this.available && !available) {
			this.unavailableSinceMs = nowMs;
		}
		else if (!this.available && available && nowMs - this.unavailableSinceMs >= MIN_RESTART_OUTAGE_MS) {
			restart(nowMs);
		}
		this.available = available;
	}

	private void setMembers(MemberView members) {
		this.members = members;
		this.rank = SlowStart.rank(this.name, members.vm(), members.names());
	}

	private void restart(long nowMs) {
		this.warmUp.restart(nowMs);
		this.prefixes.clear();
	}

	int concurrencyLimit(SlowStart slowStart, long nowMs) {
		int limit = slowStart.concurrencyLimit(this.warmUp.workMs(), this.spec.maxConcurrency());
		return (hasReport(nowMs)) ? Math.min(limit, Math.max(0, this.report.capacity())) : limit;
	}

	/**
	 * Returns the number of requests that this entry VM may have in flight.
	 * @param slowStart the settings
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return this entry VM's share of the current concurrency limit
	 */
	int share(SlowStart slowStart, long nowMs) {
		return SlowStart.share(concurrencyLimit(slowStart, nowMs), this.rank, this.members.size());
	}

	void advance(SlowStart slowStart, long nowMs) {
		this.warmUp.advance(share(slowStart, nowMs) > 0, slowStart.doublingMs(), nowMs);
	}

	/**
	 * Returns the number of requests that this entry VM can have in flight: its share, or
	 * more while a warm endpoint reports free capacity.
	 * @param slowStart the settings
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the number of requests
	 */
	int usableConcurrency(SlowStart slowStart, long nowMs) {
		int share = share(slowStart, nowMs);
		if (!isWarm(slowStart) || !hasReport(nowMs)) {
			return share;
		}
		int free = Math.max(0, this.report.capacity() - this.report.inFlight() - this.report.queued());
		return Math.max(share, this.inFlightAtReport + SlowStart.share(free, this.rank, this.members.size()));
	}

	boolean isWarm(SlowStart slowStart) {
		return slowStart.concurrencyLimit(this.warmUp.workMs(), this.spec.maxConcurrency()) >= this.spec
			.maxConcurrency();
	}

	boolean acceptsRequests(long nowMs) {
		return this.available && nowMs >= this.leavingUntilMs && this.health.isUsable(nowMs);
	}

	boolean isBackingOff() {
		return this.health.isBackingOff();
	}

	/**
	 * Returns the cost of sending one request to the endpoint.
	 * @param request the request
	 * @param stats the durations of the service
	 * @param slowStart the settings
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the expected extra time in milliseconds, or a negative value if the
	 * endpoint may not get the request
	 */
	double cost(RouteRequest request, ServiceStats stats, SlowStart slowStart, long nowMs) {
		advance(slowStart, nowMs);
		if (!acceptsRequests(nowMs) || (request.isolated() && this.isolatedInFlight > 0)) {
			return -1;
		}
		int limit = concurrencyLimit(slowStart, nowMs);
		int share = share(slowStart, nowMs);
		double typicalMs = Math.max(stats.medianMs(), this.recentDurations.median());
		int load = load(nowMs);
		double waitMs = Math.max(0, load + 1 - limit) * typicalMs / Math.max(1, limit);
		int cached = 0;
		if (!request.prefixKey().isEmpty()) {
			cached = this.prefixes.cachedTokens(request.prefixKey(), request.promptTokens(), nowMs);
		}
		if (this.inFlight >= share && !mayExceedShare(share, cached, waitMs, stats, slowStart, nowMs)) {
			return -1;
		}
		double recentSlowdownMs = this.recentDurations.baseMedian(stats.msPerToken()) - stats.baseMedianMs();
		double slowdownMs = Math.max(this.timeoutExcessMs, Math.max(0, recentSlowdownMs))
				* Math.pow(0.5, (nowMs - this.lastResultMs) / (double) SLOWDOWN_HALF_LIFE_MS);
		if (slowdownMs < MIN_SLOWDOWN_FACTOR * stats.medianMs()) {
			slowdownMs = 0;
		}
		if (!this.leases.isEmpty()) {
			// A call that runs for too long counts as a slowdown before it ends.
			long oldestMs = nowMs - this.leases.iterator().next().sentAtMs();
			slowdownMs = Math.max(slowdownMs, oldestMs - SLOW_CALL_FACTOR * stats.medianMs());
		}
		double uncachedMs = (request.promptTokens() - cached) * stats.msPerToken();
		return slowdownMs + waitMs + uncachedMs + LOAD_WEIGHT * typicalMs * load / Math.max(1, limit);
	}

	private boolean mayExceedShare(int share, int cached, double waitMs, ServiceStats stats, SlowStart slowStart,
			long nowMs) {
		if (!isWarm(slowStart) || this.health.isBackingOff() || !hasReport(nowMs)) {
			return false;
		}
		// Each entry VM uses only its share of the free capacity, because the others see
		// about the same capacity as free.
		int free = this.report.capacity() - this.report.inFlight() - this.report.queued();
		if (free > 0 && this.inFlight - this.inFlightAtReport < SlowStart.share(free, this.rank, this.members.size())) {
			return true;
		}
		return this.inFlight < share + Math.max(1, share / 2)
				&& PrefixAffinity.isWorthQueueing(waitMs, cached, stats.msPerToken());
	}

	private int load(long nowMs) {
		if (!hasReport(nowMs)) {
			return this.inFlight * this.members.size();
		}
		int others = Math.max(0, this.report.inFlight() + this.report.queued() - this.inFlightAtReport);
		return others + this.inFlight;
	}

	private boolean hasReport(long nowMs) {
		return this.report != null && nowMs - this.reportReceivedMs <= REPORT_VALID_MS;
	}

	void addLease(Lease lease) {
		this.leases.add(lease);
	}

	boolean reserve(boolean isolated) {
		this.inFlight++;
		if (isolated) {
			this.isolatedInFlight++;
		}
		return this.health.requestSent();
	}

	void release(Lease lease, boolean isolated, boolean probe) {
		this.leases.remove(lease);
		this.inFlight--;
		if (isolated) {
			this.isolatedInFlight--;
		}
		if (probe) {
			this.health.probeEnded();
		}
	}

	void succeeded(long durationMs, int uncachedTokens, ServiceStats stats, String incarnation, long sentAtMs,
			SlowStart slowStart, long nowMs) {
		advance(slowStart, nowMs);
		this.health.succeeded();
		if (this.warmUp.recordIncarnation(incarnation, nowMs)) {
			this.prefixes.clear();
		}
		if (this.connectFailed && incarnation.isEmpty()) {
			restart(nowMs);
		}
		this.connectFailed = false;
		this.recentDurations.add(durationMs, uncachedTokens);
		this.timeoutExcessMs = 0;
		this.lastResultMs = nowMs;
		this.warmUp.recordAnswer(stats.baseMs(durationMs, uncachedTokens), stats.baseMedianMs(), sentAtMs, nowMs);
	}

	void failed(CallFailure failure, boolean probe, ServiceStats stats, long sentAtMs, SlowStart slowStart,
			long nowMs) {
		advance(slowStart, nowMs);
		if (failure == CallFailure.LEAVING) {
			this.leavingUntilMs = nowMs + LEAVING_RETRY_MS;
			return;
		}
		if (!failure.countsAgainstEndpoint()) {
			return;
		}
		if (failure == CallFailure.TIMED_OUT) {
			long elapsedMs = nowMs - sentAtMs;
			if (elapsedMs < SLOW_CALL_FACTOR * stats.medianMs()) {
				// The call timed out early because little time was left when it was sent.
				return;
			}
			this.timeoutExcessMs = elapsedMs - stats.medianMs();
			this.lastResultMs = nowMs;
		}
		this.health.failed(failure, probe, nowMs);
		this.connectFailed |= failure == CallFailure.CONNECT_FAILED;
		boolean overloaded = failure == CallFailure.ERROR_STATUS || failure == CallFailure.TIMED_OUT;
		if (overloaded && !isWarm(slowStart) && sentAtMs >= this.warmUp.startMs()) {
			restart(nowMs);
		}
	}

	void observe(LoadReport latest, SlowStart slowStart, long nowMs) {
		advance(slowStart, nowMs);
		if (this.report != null && latest.reportedAtMs() <= this.report.reportedAtMs()) {
			return;
		}
		if (this.warmUp.recordIncarnation((latest.incarnation() != null) ? latest.incarnation() : "", nowMs)) {
			this.prefixes.clear();
		}
		this.report = latest;
		this.reportReceivedMs = nowMs;
		this.inFlightAtReport = this.inFlight;
		if (latest.inFlight() > 0) {
			this.warmUp.recordWork(nowMs);
		}
		if (latest.capacity() >= this.spec.maxConcurrency()) {
			this.warmUp.assumeWarm(64 * slowStart.doublingMs());
		}
		this.health.loadReported(latest.reportedAtMs(), nowMs);
	}

	/**
	 * The member entry VMs as one of them sees them.
	 *
	 * @param vm the name of this entry VM
	 * @param names the names of all members, this one included
	 */
	record MemberView(String vm, List<String> names) {

		int size() {
			return this.names.size();
		}

	}

}
