package org.fulmargap.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;

import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointProcess;
import org.fulmargap.placement.LimitShares;
import org.fulmargap.placement.NamedLimit;
import org.fulmargap.platform.EndpointAnswer;

/**
 * Hands the rates that endpoints name in their answers to the {@link EndpointDirectory},
 * and logs and counts the limits in force. Confined to the event loop.
 */
final class LimitedEndpoints {

	/** The number of endpoints whose unreadable limits are remembered. */
	private static final int MAX_UNREADABLE = 1_000;

	private final LongSupplier clockMs;

	private final EndpointDirectory directory;

	private final LimitShares shares;

	private final EntryMetrics metrics;

	private final Map<String, Double> loggedPerSecond = new HashMap<>();

	private final Set<EndpointProcess> unreadable = new HashSet<>();

	LimitedEndpoints(LongSupplier clockMs, EndpointDirectory directory, LimitShares shares, EntryMetrics metrics) {
		this.clockMs = clockMs;
		this.directory = directory;
		this.shares = shares;
		this.metrics = metrics;
	}

	/**
	 * Records the limit that an answer names, if any.
	 * @param process the process that answered
	 * @param answer the answer
	 */
	void headRead(EndpointProcess process, EndpointAnswer answer) {
		if (answer.namesLimit()) {
			this.directory.recordLimit(process, new NamedLimit(answer.limitPerSecond(), this.clockMs.getAsLong()));
			follow(process.endpoint(), "answer");
		}
		else if (answer.hasUnreadableLimit() && this.unreadable.size() < MAX_UNREADABLE
				&& this.unreadable.add(process)) {
			EventLog.state("endpoint_limit_refused").with("endpoint", process.endpoint()).write();
		}
	}

	/**
	 * Records that an answer that belongs to a call names no limit, if so.
	 * @param process the process that answered
	 * @param answer the answer
	 * @param sentAtMs when the call was sent, in milliseconds
	 */
	void accepted(EndpointProcess process, EndpointAnswer answer, long sentAtMs) {
		if (!answer.namesLimit() && !answer.hasUnreadableLimit() && !answer.isMisdirected()) {
			this.directory.recordNoLimit(process, sentAtMs, this.clockMs.getAsLong());
			follow(process.endpoint(), "answer");
		}
	}

	/**
	 * Records what a peer knows of the limits of endpoints.
	 * @param limits the newest observation of each process
	 */
	void reported(Map<EndpointProcess, NamedLimit> limits) {
		limits.forEach((process, limit) -> {
			this.directory.recordLimit(process, limit);
			follow(process.endpoint(), "peer");
		});
	}

	/**
	 * Follows the limits that ended because a new process started.
	 */
	void checkAgain() {
		List.copyOf(this.loggedPerSecond.keySet()).forEach((id) -> follow(id, "record"));
	}

	private void follow(String id, String source) {
		Endpoint endpoint = this.directory.find(id).orElse(null);
		Double limit = (endpoint != null && endpoint.limitPerSecond().isPresent())
				? (Double) endpoint.limitPerSecond().getAsDouble() : null;
		Double logged = (limit != null) ? this.loggedPerSecond.put(id, limit) : this.loggedPerSecond.remove(id);
		if (Objects.equals(limit, logged)) {
			return;
		}
		this.metrics.gauge("endpoints_limited", this.loggedPerSecond.size());
		if (limit == null) {
			EventLog.state("endpoint_limit_ended").with("endpoint", id).with("source", source).write();
			return;
		}
		EventLog.state("endpoint_limit")
			.with("endpoint", id)
			.with("service", endpoint.record().service())
			.with("limit", limit)
			.with("share", this.shares.perSecond(id, limit, this.clockMs.getAsLong()))
			.with("source", source)
			.write();
	}

}
