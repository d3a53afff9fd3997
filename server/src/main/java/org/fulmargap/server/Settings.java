package org.fulmargap.server;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Settings of an entry VM.
 *
 * @param vm the name of the entry VM
 * @param failureDomain the failure domain of the entry VM
 * @param callerAddress the address of the API for callers
 * @param adminAddress the address of the API for operators
 * @param peerAddress the address at which links of other entry VMs are accepted
 * @param peers the peer addresses of other entry VMs
 * @param platformLogUrl the base URL of the platform's log service
 * @param platformVmsUrl the base URL of the platform's VM list
 * @param drainNoticeMs how long new requests are still accepted after a shutdown has
 * begun, in milliseconds
 * @param drainLimitMs the longest wait for running requests after that, in milliseconds
 * @param keyLifetimeMs the lifetime of idempotency keys and their claims in milliseconds
 * @param isolatedPolicy the behaviour while neither another failure domain nor the log is
 * reachable
 * @param maxBodyBytes the size limit of a request body in bytes
 * @param maxInFlight the largest number of requests that run at the same time
 * @param patchTimeoutMs how long a patch waits for acknowledgements, in milliseconds
 * @param evictAfterMs how long a member must be unresponsive before it is evicted, in
 * milliseconds
 * @param snapshotEveryMs the age in milliseconds above which a snapshot of the
 * configuration is replaced if records follow it
 * @param initialConcurrency the concurrency limit of an endpoint that has just started,
 * summed over all entry VMs
 * @param doublingMs the time in milliseconds, counted while the endpoint processes
 * requests, in which the concurrency limit doubles
 */
record Settings(@JsonProperty("vm") String vm, @JsonProperty("failure_domain") String failureDomain,
		@JsonProperty("caller_address") Address callerAddress, @JsonProperty("admin_address") Address adminAddress,
		@JsonProperty("peer_address") Address peerAddress, @JsonProperty("peers") List<Address> peers,
		@JsonProperty("platform_log_url") String platformLogUrl,
		@JsonProperty("platform_vms_url") String platformVmsUrl, @JsonProperty("drain_notice_ms") Long drainNoticeMs,
		@JsonProperty("drain_limit_ms") Long drainLimitMs, @JsonProperty("key_lifetime_ms") Long keyLifetimeMs,
		@JsonProperty("isolated_policy") IsolatedPolicy isolatedPolicy,
		@JsonProperty("max_body_bytes") Integer maxBodyBytes, @JsonProperty("max_in_flight") Integer maxInFlight,
		@JsonProperty("patch_timeout_ms") Long patchTimeoutMs, @JsonProperty("evict_after_ms") Long evictAfterMs,
		@JsonProperty("snapshot_every_ms") Long snapshotEveryMs,
		@JsonProperty("initial_concurrency") Integer initialConcurrency, @JsonProperty("doubling_ms") Long doublingMs) {

	/**
	 * Sets defaults and checks each field.
	 */
	Settings {
		required("vm", vm);
		if (!vm.matches("[A-Za-z0-9._-]{1,64}")) {
			throw new InvalidFieldException("vm", "must be 1 to 64 letters, digits, dots, hyphens or underscores");
		}
		required("failure_domain", failureDomain);
		required("caller_address", callerAddress);
		required("admin_address", adminAddress);
		required("peer_address", peerAddress);
		url("platform_log_url", platformLogUrl);
		url("platform_vms_url", platformVmsUrl);
		peers = (peers != null) ? List.copyOf(peers) : List.of();
		drainNoticeMs = bounded("drain_notice_ms", drainNoticeMs, 2_000, 0);
		drainLimitMs = bounded("drain_limit_ms", drainLimitMs, 30_000, 0);
		keyLifetimeMs = bounded("key_lifetime_ms", keyLifetimeMs, 3_600_000, 1_000);
		isolatedPolicy = (isolatedPolicy != null) ? isolatedPolicy : IsolatedPolicy.SERVE_OWN_DOMAIN;
		maxBodyBytes = (int) bounded("max_body_bytes", asLong(maxBodyBytes), 1 << 20, 1);
		maxInFlight = (int) bounded("max_in_flight", asLong(maxInFlight), 256, 1);
		patchTimeoutMs = bounded("patch_timeout_ms", patchTimeoutMs, 3_000, 1);
		evictAfterMs = bounded("evict_after_ms", evictAfterMs, 10_000, 1);
		snapshotEveryMs = bounded("snapshot_every_ms", snapshotEveryMs, 60_000, 1);
		initialConcurrency = (int) bounded("initial_concurrency", asLong(initialConcurrency), 1, 1);
		doublingMs = bounded("doubling_ms", doublingMs, 2_000, 1);
	}

	private static Long asLong(Integer value) {
		return (value != null) ? value.longValue() : null;
	}

	private static void required(String field, Object value) {
		if (value == null || value.toString().isBlank()) {
			throw new InvalidFieldException(field, "is missing");
		}
	}

	private static void url(String field, String value) {
		required(field, value);
		if (!value.matches("https?://[^/\\s]+(/\\S*)?")) {
			throw new InvalidFieldException(field, "must be a URL with http or https, but is '" + value + "'");
		}
	}

	private static long bounded(String field, Long value, long defaultValue, long minimum) {
		if (value == null) {
			return defaultValue;
		}
		if (value < minimum) {
			throw new InvalidFieldException(field, "must be at least " + minimum + ", but is " + value);
		}
		return value;
	}

	/**
	 * Thrown for a field with a value that is not allowed.
	 */
	static final class InvalidFieldException extends IllegalArgumentException {

		private static final long serialVersionUID = 1L;

		private final String field;

		InvalidFieldException(String field, String problem) {
			super(problem);
			this.field = field;
		}

		String field() {
			return this.field;
		}

	}

}
