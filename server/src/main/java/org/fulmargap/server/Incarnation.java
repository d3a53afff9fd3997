package org.fulmargap.server;

/**
 * Identity of one start of an entry VM.
 *
 * @param text the text form
 */
record Incarnation(String text) {

	/**
	 * Creates an identity that no other start has.
	 * @param vm the name of the entry VM
	 * @param nowMs the present time in milliseconds since the epoch
	 * @param random a random number, for starts with the same clock reading
	 * @return the identity
	 */
	static Incarnation of(String vm, long nowMs, int random) {
		return new Incarnation(vm + "-" + Long.toString(nowMs, 36) + "-" + Integer.toUnsignedString(random, 36));
	}

}
