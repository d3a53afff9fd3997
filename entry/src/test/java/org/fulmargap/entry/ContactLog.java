package org.fulmargap.entry;

import java.util.ArrayList;
import java.util.List;

/**
 * The disturbances of VMs and of the store, which tell within which time a VM has to put
 * a configuration in force.
 */
final class ContactLog {

	/** No bound holds for a VM that isn't in touch. */
	static final long UNBOUND = -1;

	/** The bound for VMs in touch, of the rules ({@code config-apply-ms}). */
	private static final long APPLY_MS = 2_000;

	/** By how much an unstable store stretches it ({@code outer-ms}). */
	private static final long OUTER_MS = 5_000;

	/** How long a VM must be undisturbed to be in touch ({@code contact-ms}). */
	private static final long CONTACT_MS = 3_000;

	private final List<Disturbance> disturbances = new ArrayList<>();

	/**
	 * Records the begin of a disturbance of VMs or of their paths to the store. One of
	 * the store during which no bound holds is one of all VMs.
	 */
	synchronized Disturbance disturbance(List<Integer> vms, long nowMs) {
		return add(new Disturbance(vms, false, nowMs));
	}

	/**
	 * Records the begin of a time in which the store refuses calls of some VMs, which
	 * only stretches the bound for all.
	 */
	synchronized Disturbance refusals(long nowMs) {
		return add(new Disturbance(List.of(), true, nowMs));
	}

	private Disturbance add(Disturbance disturbance) {
		this.disturbances.add(disturbance);
		return disturbance;
	}

	/**
	 * Returns within which time after its acknowledgement a configuration must be in
	 * force for a request.
	 * @param vm the VM to which the request was sent
	 * @param sentAtMs when it was sent, in milliseconds
	 * @param endedAtMs when its answer arrived, in milliseconds
	 * @return the time in milliseconds, or {@link #UNBOUND}
	 */
	synchronized long boundMs(int vm, long sentAtMs, long endedAtMs) {
		long boundMs = APPLY_MS;
		for (Disturbance disturbance : this.disturbances) {
			boolean near = disturbance.beganAtMs <= endedAtMs && disturbance.endedAtMs >= sentAtMs - CONTACT_MS;
			if (near && (disturbance.stretches || disturbance.vms.contains(vm))) {
				if (!disturbance.stretches) {
					return UNBOUND;
				}
				boundMs = APPLY_MS + OUTER_MS;
			}
		}
		return boundMs;
	}

	/**
	 * A disturbance that lasts until it is ended.
	 */
	final class Disturbance {

		private final List<Integer> vms;

		private final boolean stretches;

		private final long beganAtMs;

		private long endedAtMs = Long.MAX_VALUE;

		private Disturbance(List<Integer> vms, boolean stretches, long beganAtMs) {
			this.vms = vms;
			this.stretches = stretches;
			this.beganAtMs = beganAtMs;
		}

		void end(long nowMs) {
			synchronized (ContactLog.this) {
				this.endedAtMs = nowMs;
			}
		}

	}

}
