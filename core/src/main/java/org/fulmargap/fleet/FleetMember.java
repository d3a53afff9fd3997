package org.fulmargap.fleet;

import java.util.regex.Pattern;

import org.fulmargap.catalog.AddressFormat;

/**
 * An entry VM as it is listed in the store.
 *
 * @param name the name of the VM
 * @param address the address for other VMs, as {@code IP:port}
 * @param failureDomain its failure domain
 * @param capacity how much work for other VMs it can do, in processor cores
 */
public record FleetMember(String name, String address, String failureDomain, double capacity) {

	private static final int FIELDS = 3;

	/** The length of the longest text, in characters. */
	private static final int MAX_LENGTH = 400;

	/** The largest capacity that a VM may state, in processor cores. */
	private static final double MAX_CAPACITY = 1_000;

	private static final Pattern DOMAIN = Pattern.compile("[^\\s\\p{Cntrl}]+");

	/**
	 * Returns the text that is stored under the name of the VM.
	 * @return address, failure domain and capacity, separated by spaces
	 */
	public String toText() {
		return this.address + ' ' + this.failureDomain + ' ' + this.capacity;
	}

	/**
	 * Parses the text that is stored under the name of a VM.
	 * @param name the name of the VM
	 * @param text the text
	 * @return the member
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public static FleetMember parse(String name, String text) {
		String[] fields = (text.length() <= MAX_LENGTH) ? text.split(" ") : new String[0];
		if (fields.length != FIELDS) {
			throw new IllegalArgumentException("not an address, a failure domain and a capacity");
		}
		return checked(new FleetMember(name, fields[0], fields[1], Double.parseDouble(fields[2])));
	}

	/**
	 * Checks a member that another process has stated.
	 * @param member the member
	 * @return the member
	 * @throws IllegalArgumentException if its address, failure domain or capacity is
	 * invalid
	 */
	public static FleetMember checked(FleetMember member) {
		if (!AddressFormat.isHostAddress(member.address()) || !DOMAIN.matcher(member.failureDomain()).matches()) {
			throw new IllegalArgumentException("the address or the failure domain is invalid");
		}
		// With a capacity that is no number, no VM compares as the largest.
		if (!(member.capacity() >= 0 && member.capacity() <= MAX_CAPACITY)) {
			throw new IllegalArgumentException("the capacity is not from 0 to " + MAX_CAPACITY + " cores");
		}
		return member;
	}

}
