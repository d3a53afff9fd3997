package org.fulmargap.fleet;

/**
 * Rendezvous hashing: of several VMs, the one with the highest rank for a key is chosen,
 * so that the loss of a VM moves only its own keys.
 */
final class Rendezvous {

	private Rendezvous() {
	}

	/**
	 * Returns the rank of a VM for a key.
	 * @param key the key
	 * @param vm the name of the VM
	 * @return the rank, the same at all VMs
	 */
	static int rank(String key, String vm) {
		int hash = (key + '@' + vm).hashCode() * 0x9E3779B9;
		return (hash ^ (hash >>> 15)) * 0x85EBCA6B;
	}

}
