package org.fulmargap.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.fulmargap.ledger.ConfigService;

/**
 * Stores the decisions about the most recent patches that operators sent to this entry
 * VM.
 */
final class PatchHistory {

	/** The number of stored patches, about one day of changes at the design size. */
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
	 * Finds the decision about a patch.
	 * @param patchId the identity of the patch
	 * @return the decision, empty if the patch is not decided yet, {@code null} if it is
	 * not stored
	 */
	synchronized Optional<ConfigService.Decision> find(String patchId) {
		return this.decisions.get(patchId);
	}

}
