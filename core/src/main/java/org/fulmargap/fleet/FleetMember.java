package org.fulmargap.fleet;

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
		String[] fields = text.split(" ");
		if (fields.length != FIELDS || !fields[0].matches("[0-9.]+:\\d{1,5}")) {
			throw new IllegalArgumentException("not an address, a failure domain and a capacity: " + text);
		}
		return new FleetMember(name, fields[0], fields[1], Double.parseDouble(fields[2]));
	}

}
