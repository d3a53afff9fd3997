package org.fulmargap.entry;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.placement.Brittleness;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointProcess;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.placement.LimitShares;
import org.fulmargap.placement.NamedLimit;
import org.fulmargap.placement.Unavailability;
import org.fulmargap.platform.EndpointAnswer;

/**
 * Hands what endpoints announce about themselves to the {@link EndpointDirectory}, and
 * logs and counts the endpoints that get no new work for it. Confined to the event loop.
 */
public final class SetAsideEndpoints {

	/**
	 * The interval at which the log and the metrics follow the records and the time, in
	 * milliseconds.
	 */
	private static final long CHECK_INTERVAL_MS = 250;

	private final LongSupplier clockMs;

	private final EndpointDirectory directory;

	private final EntryMetrics metrics;

	private final SuspendedTime suspendedTime;

	private final LimitedEndpoints limited;

	private final BrittleEndpoints brittle;

	private final Map<Endpoint, Unavailability> logged = new HashMap<>();

	private boolean recordsLoad = true;

	/**
	 * Creates an instance without any announcements.
	 * @param loop the event loop
	 * @param clockMs the current time in milliseconds
	 * @param directory the known endpoints
	 * @param shares the shares of this VM in the limits of endpoints
	 * @param metrics receives the numbers of endpoints that are set aside, limited or
	 * brittle
	 */
	public SetAsideEndpoints(EventLoop loop, LongSupplier clockMs, EndpointDirectory directory, LimitShares shares,
			EntryMetrics metrics) {
		this.clockMs = clockMs;
		this.directory = directory;
		this.metrics = metrics;
		this.limited = new LimitedEndpoints(clockMs, directory, shares, metrics);
		this.brittle = new BrittleEndpoints(clockMs, directory, metrics);
		this.suspendedTime = new SuspendedTime(SuspendedTime::uptimeMs, clockMs.getAsLong());
		loop.scheduleWithFixedDelay(this::checkAgain, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets whether the load that endpoints state is recorded.
	 * @param newRecordsLoad {@code false} if work does not go by the speeds of endpoints
	 */
	void recordsLoad(boolean newRecordsLoad) {
		this.recordsLoad = newRecordsLoad;
	}

	/**
	 * Records what an answer says about its endpoint.
	 * @param called the record of the endpoint when it was called
	 * @param answer the answer, perhaps of another endpoint that has taken over the
	 * address
	 */
	public void headRead(EndpointRecord called, EndpointAnswer answer) {
		sender(called, answer).ifPresent((process) -> {
			this.limited.headRead(process, answer);
			this.brittle.headRead(process, answer);
		});
		answer.loadNotice()
			.filter((load) -> this.recordsLoad)
			.ifPresent((load) -> sender(called, answer)
				.ifPresent((process) -> this.directory.recordLoad(process, load, this.clockMs.getAsLong())));
		if (!answer.leaving() && answer.restMs() <= 0) {
			return;
		}
		sender(called, answer).ifPresent((process) -> record(process, answer));
		check("answer");
	}

	private void record(EndpointProcess process, EndpointAnswer answer) {
		if (answer.leaving()) {
			this.directory.recordLeaving(process);
		}
		if (answer.restMs() > 0) {
			countSuspension();
			this.directory.recordRest(process, this.clockMs.getAsLong() + answer.restMs());
		}
	}

	private void countSuspension() {
		long suspendedMs = this.suspendedTime.passedMs(this.clockMs.getAsLong());
		if (suspendedMs > 0) {
			this.directory.recordSuspension(suspendedMs);
		}
	}

	/**
	 * Records what the answer to a call that named no endpoint says about its endpoint.
	 * @param address the address that was called
	 * @param answer the answer
	 */
	public void headRead(String address, EndpointAnswer answer) {
		this.directory.findByAddress(address).ifPresent((endpoint) -> headRead(endpoint.record(), answer));
	}

	private Optional<EndpointProcess> sender(EndpointRecord called, EndpointAnswer answer) {
		if (answer.endpointId().isEmpty() || answer.endpointId().equals(called.id())) {
			return Optional.of(new EndpointProcess(called.id(), called.startedAtMs()));
		}
		return this.directory.find(answer.endpointId())
			.map((endpoint) -> new EndpointProcess(endpoint.record().id(), endpoint.record().startedAtMs()));
	}

	/**
	 * Records what an answer that is known to belong to its call does not say any more.
	 * @param called the record of the endpoint when it was called
	 * @param answer the answer
	 * @param sentAtMs when the call was sent, in milliseconds
	 */
	public void accepted(EndpointRecord called, EndpointAnswer answer, long sentAtMs) {
		sender(called, answer).ifPresent((process) -> {
			this.limited.accepted(process, answer, sentAtMs);
			this.brittle.accepted(process, answer, sentAtMs);
		});
	}

	/**
	 * Records what a peer knows of the limits of endpoints.
	 * @param limits the newest observation of each process
	 */
	public void reportedLimits(Map<EndpointProcess, NamedLimit> limits) {
		this.limited.reported(limits);
	}

	/**
	 * Records what a peer knows of brittle endpoints.
	 * @param reported the newest observation of each process
	 */
	public void reportedBrittle(Map<EndpointProcess, Brittleness> reported) {
		this.brittle.reported(reported);
	}

	/**
	 * Records the endpoints of which a peer learned that they are leaving.
	 * @param leaving their processes
	 */
	public void reportedLeaving(Collection<EndpointProcess> leaving) {
		boolean changed = false;
		for (EndpointProcess process : leaving) {
			changed |= this.directory.recordLeaving(process);
		}
		if (changed) {
			check("peer");
		}
	}

	private void checkAgain() {
		if (this.logged.containsValue(Unavailability.RESTING)) {
			countSuspension();
		}
		check("record");
		this.limited.checkAgain();
		this.brittle.checkAgain();
	}

	private void check(String source) {
		long nowMs = this.clockMs.getAsLong();
		Map<Endpoint, Unavailability> current = this.directory.setAside(nowMs);
		current.forEach((endpoint, reason) -> {
			if (this.logged.put(endpoint, reason) != reason) {
				EventLog.state("endpoint_set_aside")
					.with("endpoint", endpoint)
					.with("service", endpoint.record().service())
					.with("reason", reason)
					.with("source", source)
					.write();
			}
		});
		this.logged.entrySet().removeIf((entry) -> {
			boolean ended = !current.containsKey(entry.getKey());
			if (ended) {
				logEnd(entry.getKey(), entry.getValue(), nowMs);
			}
			return ended;
		});
		count();
	}

	// An endpoint that is draining or gone by its record is not back.
	private static void logEnd(Endpoint endpoint, Unavailability reason, long nowMs) {
		if (endpoint.isAvailable(nowMs)) {
			EventLog.state("endpoint_back")
				.with("endpoint", endpoint)
				.with("service", endpoint.record().service())
				.with("reason", reason)
				.write();
		}
	}

	private void count() {
		Map<Unavailability, Integer> counts = new EnumMap<>(Unavailability.class);
		this.logged.values().forEach((reason) -> counts.merge(reason, 1, Integer::sum));
		for (Unavailability reason : Unavailability.values()) {
			if (reason.isAnnounced()) {
				this.metrics.gauge("endpoints_set_aside{reason=\"" + reason + "\"}", counts.getOrDefault(reason, 0));
			}
		}
	}

}
