package org.fulmargap.placement;

import java.util.List;
import java.util.Optional;

/**
 * Why an endpoint gets no new work. The first reason that applies counts.
 */
public enum Unavailability {

	/** Its record says that it is draining. */
	DRAINING(false) {
		@Override
		boolean applies(Endpoint endpoint, long nowMs) {
			return endpoint.record().draining();
		}
	},

	/** Its record was removed and the grace period has ended. */
	REMOVED(false) {
		@Override
		boolean applies(Endpoint endpoint, long nowMs) {
			return endpoint.isRemoved(nowMs);
		}
	},

	/** Its process said in an answer that it is leaving. */
	LEAVING(true) {
		@Override
		boolean applies(Endpoint endpoint, long nowMs) {
			return endpoint.notice().isLeaving(endpoint.record());
		}
	},

	/** It asked this VM in an answer to send nothing for some time. */
	RESTING(true) {
		@Override
		boolean applies(Endpoint endpoint, long nowMs) {
			return endpoint.notice().isResting(endpoint.record(), nowMs);
		}
	};

	private static final List<Unavailability> ALL = List.of(values());

	private final boolean announced;

	Unavailability(boolean announced) {
		this.announced = announced;
	}

	abstract boolean applies(Endpoint endpoint, long nowMs);

	/**
	 * Returns whether the endpoint announced the reason itself, in an answer.
	 * @return {@code false} if the reason is known from the platform's store
	 */
	public boolean isAnnounced() {
		return this.announced;
	}

	static boolean isAnnounced(Endpoint endpoint, long nowMs) {
		for (Unavailability reason : ALL) {
			if (reason.announced && reason.applies(endpoint, nowMs)) {
				return true;
			}
		}
		return false;
	}

	static Optional<Unavailability> of(Endpoint endpoint, long nowMs) {
		for (Unavailability reason : ALL) {
			if (reason.applies(endpoint, nowMs)) {
				return Optional.of(reason);
			}
		}
		return Optional.empty();
	}

}
