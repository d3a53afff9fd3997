package org.fulmargap.routing;

/**
 * Scores for rendezvous hashing. A score is the same in every process.
 */
final class Rendezvous {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private Rendezvous() {
	}

	static long score(String... parts) {
		long hash = FNV_OFFSET;
		for (String part : parts) {
			for (int i = 0; i < part.length(); i++) {
				hash = (hash ^ part.charAt(i)) * FNV_PRIME;
			}
			// Separates the parts, so that ("ab", "c") and ("a", "bc") differ.
			hash = (hash ^ 0x1ffff) * FNV_PRIME;
		}
		return mix(hash);
	}

	// Finalizer of SplitMix64. FNV alone gives short names similar high bits.
	static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

}
