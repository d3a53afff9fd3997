package org.fulmargap.routing;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.fulmargap.config.EndpointSpec;

/**
 * What one entry VM knows about one endpoint. Guarded by the lock of its shard.
 */
final class EndpointState {

	/** A report older than this says nothing about free capacity. */
	private static final long REPORT_VALID_MS = 2_000;

	/** An endpoint that is out for longer was probably restarted. */
	private static final long OUT_UNTIL_COLD_MS = 2_000;

	/** A leaving endpoint that stays in the configuration is tried again after this. */
	private static final long LEAVING_MS = 10_000;

	/** A call that takes longer than this multiple of the median shows slowness. */
	private static final int SLOW_CALL_FACTOR = 2;

	/** A slow endpoint is tried again, because it may have recovered. */
	private static final long SLOWNESS_HALVED_MS = 10_000;

	/** Smaller differences, in medians, come from the lengths of the answers. */
	private static final double SLOWNESS_IGNORED = 0.5;

	private static final int MAX_PREFIXES = 512;

	/** Prefers the less loaded of two endpoints that are equal otherwise. */
	private static final double LOAD_WEIGHT = 0.02;

	private final String name;

	private final EndpointHealth health = new EndpointHealth();

	private final WarmUp warmUp;

	private final PrefixAffinity prefixes = new PrefixAffinity(MAX_PREFIXES);

	private final DurationWindow recent = new DurationWindow(8);

	private long recentMs;

	private double hungMs;

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
		else if (!this.available && available && nowMs - this.unavailableSinceMs >= OUT_UNTIL_COLD_MS) {
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

	int allowance(SlowStart slowStart, long nowMs) {
		int allowance = slowStart.allowance(this.warmUp.workMs(), this.spec.maxConcurrency());
		return (hasReport(nowMs)) ? Math.min(allowance, Math.max(0, this.report.capacity())) : allowance;
	}

	/**
	 * Returns the number of requests that this entry VM may have in flight.
	 * @param slowStart the settings
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return this entry VM's share of the present allowance
	 */
	int share(SlowStart slowStart, long nowMs) {
		return SlowStart.share(allowance(slowStart, nowMs), this.rank, this.members.size());
	}

	void advance(SlowStart slowStart, long nowMs) {
		this.warmUp.advance(share(slowStart, nowMs) > 0, slowStart.doublingMs(), nowMs);
	}

	/**
	 * Returns the number of requests that this entry VM can usefully have in flight: its
	 * share, or more while a warm endpoint reports free capacity.
	 * @param slowStart the settings
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return the number of requests
	 */
	int usable(SlowStart slowStart, long nowMs) {
		int share = share(slowStart, nowMs);
		if (!isWarm(slowStart) || !hasReport(nowMs)) {
			return share;
		}
		int free = Math.max(0, this.report.capacity() - this.report.inFlight() - this.report.queued());
		return Math.max(share, this.inFlightAtReport + SlowStart.share(free, this.rank, this.members.size()));
	}

	boolean isWarm(SlowStart slowStart) {
		return slowStart.allowance(this.warmUp.workMs(), this.spec.maxConcurrency()) >= this.spec.maxConcurrency();
	}

	boolean takesNewWork(long nowMs) {
		return this.available && nowMs >= this.leavingUntilMs && this.health.isUsable(nowMs);
	}

	boolean isBackingOff() {
		return this.health.isBackingOff();
	}

	/**
	 * Rates the endpoint for one request.
	 * @param request the request
	 * @param stats the durations of the service
	 * @param slowStart the settings
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return the expected extra time in milliseconds, or a negative value if the
	 * endpoint may not get the request
	 */
	double cost(RouteRequest request, ServiceStats stats, SlowStart slowStart, long nowMs) {
		advance(slowStart, nowMs);
		if (!takesNewWork(nowMs) || (request.isolated() && this.isolatedInFlight > 0)) {
			return -1;
		}
		int allowance = allowance(slowStart, nowMs);
		int share = share(slowStart, nowMs);
		double typicalMs = Math.max(stats.medianMs(), this.recent.median());
		int load = load(nowMs);
		double waitMs = Math.max(0, load + 1 - allowance) * typicalMs / Math.max(1, allowance);
		int cached = 0;
		if (!request.prefixKey().isEmpty()) {
			cached = this.prefixes.cachedTokens(request.prefixKey(), request.promptTokens(), nowMs);
		}
		if (this.inFlight >= share && !mayExceedShare(share, cached, waitMs, stats, slowStart, nowMs)) {
			return -1;
		}
		double recentMs = this.recent.baseMedian(stats.msPerToken()) - stats.baseMedianMs();
		double slownessMs = Math.max(this.hungMs, Math.max(0, recentMs))
				* Math.pow(0.5, (nowMs - this.recentMs) / (double) SLOWNESS_HALVED_MS);
		if (slownessMs < SLOWNESS_IGNORED * stats.medianMs()) {
			slownessMs = 0;
		}
		if (!this.leases.isEmpty()) {
			// A call that runs for too long shows slowness before it ends.
			long oldestMs = nowMs - this.leases.iterator().next().sentAtMs();
			slownessMs = Math.max(slownessMs, oldestMs - SLOW_CALL_FACTOR * stats.medianMs());
		}
		double uncachedMs = (request.promptTokens() - cached) * stats.msPerToken();
		return slownessMs + waitMs + uncachedMs + LOAD_WEIGHT * typicalMs * load / Math.max(1, allowance);
	}

	private boolean mayExceedShare(int share, int cached, double waitMs, ServiceStats stats, SlowStart slowStart,
			long nowMs) {
		if (!isWarm(slowStart) || this.health.isBackingOff() || !hasReport(nowMs)) {
			return false;
		}
		// Every entry VM sees about the same free capacity and takes its share of it.
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

	void started(Lease lease) {
		this.leases.add(lease);
	}

	boolean reserve(boolean isolated) {
		this.inFlight++;
		if (isolated) {
			this.isolatedInFlight++;
		}
		return this.health.sent();
	}

	void free(Lease lease, boolean isolated, boolean probe) {
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
		if (this.warmUp.incarnationSeen(incarnation, nowMs)) {
			this.prefixes.clear();
		}
		if (this.connectFailed && incarnation.isEmpty()) {
			restart(nowMs);
		}
		this.connectFailed = false;
		this.recent.add(durationMs, uncachedTokens);
		this.hungMs = 0;
		this.recentMs = nowMs;
		this.warmUp.answered(stats.baseMs(durationMs, uncachedTokens), stats.baseMedianMs(), sentAtMs, nowMs);
	}

	void failed(CallFailure failure, boolean probe, ServiceStats stats, long sentAtMs, SlowStart slowStart,
			long nowMs) {
		advance(slowStart, nowMs);
		if (failure == CallFailure.LEAVING) {
			this.leavingUntilMs = nowMs + LEAVING_MS;
			return;
		}
		if (!failure.countsAgainstEndpoint()) {
			return;
		}
		if (failure == CallFailure.TIMED_OUT) {
			long elapsedMs = nowMs - sentAtMs;
			if (elapsedMs < SLOW_CALL_FACTOR * stats.medianMs()) {
				// The call was sent too late for its deadline.
				return;
			}
			this.hungMs = elapsedMs - stats.medianMs();
			this.recentMs = nowMs;
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
		if (this.warmUp.incarnationSeen((latest.incarnation() != null) ? latest.incarnation() : "", nowMs)) {
			this.prefixes.clear();
		}
		this.report = latest;
		this.reportReceivedMs = nowMs;
		this.inFlightAtReport = this.inFlight;
		if (latest.inFlight() > 0) {
			this.warmUp.workSeen(nowMs);
		}
		if (latest.capacity() >= this.spec.maxConcurrency()) {
			this.warmUp.assumeWarm(64 * slowStart.doublingMs());
		}
		this.health.reported(latest.reportedAtMs(), nowMs);
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
