package org.fulmargap.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.fulmargap.ledger.ConfigService;

/**
 * Remembers the decisions about the most recent patches that were sent to this entry VM.
 */
final class PatchHistory {

	/** About one day of changes at the design size. */
	private static final int CAPACITY = 1500;

	private final Map<String, Optional<ConfigService.Decision>> decisions = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Optional<ConfigService.Decision>> eldest) {
			return size() > CAPACITY;
		}

	};

	synchronized void proposed(String patchId) {
		this.decisions.putIfAbsent(patchId, Optional.empty());
	}

	synchronized void decided(String patchId, ConfigService.Decision decision) {
		this.decisions.put(patchId, Optional.of(decision));
	}

	/**
	 * Finds a patch.
	 * @param patchId the identity of the patch
	 * @return {@code null} if the patch is not known, empty if it is not decided yet
	 */
	synchronized Optional<ConfigService.Decision> find(String patchId) {
		return this.decisions.get(patchId);
	}

}
