package org.fulmargap.placement;

import java.util.Objects;

/**
 * The record of an endpoint in the platform's store.
 *
 * @param id the name of the endpoint, usually unique to one start of its process
 * @param service the service that it belongs to
 * @param address its address as {@code IP:port}
 * @param failureDomain the failure domain in which it runs
 * @param slots how many requests it runs at the same time; others wait
 * @param draining whether it is draining and must get no new work
 * @param coldForMs how long it stays cold from the time of the record, in milliseconds
 * @param startedAtMs when it started, in milliseconds since the epoch; 0 if not stated
 * @param sequence the number of the record among those of its process
 * @param softwareVersion the version of its software, or an empty string if not stated
 */
public record EndpointRecord(String id, String service, String address, String failureDomain, int slots,
		boolean draining, long coldForMs, long startedAtMs, long sequence, String softwareVersion) {

	/**
	 * Creates a record.
	 * @throws NullPointerException if id, service, address or software version is null
	 */
	public EndpointRecord {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(softwareVersion, "softwareVersion");
	}

	/**
	 * Creates a record without a number and a software version.
	 * @param id the name of the endpoint
	 * @param service the service that it belongs to
	 * @param address its address as {@code IP:port}
	 * @param failureDomain the failure domain in which it runs
	 * @param slots how many requests it runs at the same time
	 * @param draining whether it is draining
	 * @param coldForMs how long it stays cold, in milliseconds
	 * @param startedAtMs when it started, in milliseconds since the epoch
	 */
	public EndpointRecord(String id, String service, String address, String failureDomain, int slots, boolean draining,
			long coldForMs, long startedAtMs) {
		this(id, service, address, failureDomain, slots, draining, coldForMs, startedAtMs, 0, "");
	}

	/**
	 * Returns whether the endpoint wrote this record before another one of the same name.
	 * @param other the other record
	 * @return {@code true} if it is of an earlier process, or of the same one with a
	 * lower number
	 */
	public boolean isBefore(EndpointRecord other) {
		return this.startedAtMs < other.startedAtMs
				|| (this.startedAtMs == other.startedAtMs && this.sequence < other.sequence);
	}

	/**
	 * Returns whether another record of the same name belongs to the same process.
	 * @param other the other record
	 * @return {@code true} if start time, address and service are the same
	 */
	public boolean isSameProcess(EndpointRecord other) {
		return this.startedAtMs == other.startedAtMs && this.address.equals(other.address)
				&& this.service.equals(other.service);
	}

}
