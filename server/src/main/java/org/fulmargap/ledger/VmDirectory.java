package org.fulmargap.ledger;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The platform's list of live and leaving VMs. The list may be out of date.
 */
public interface VmDirectory {

	/**
	 * Reads the list.
	 * @return the state of each listed VM by name
	 * @throws IOException if the platform did not return a valid list
	 */
	Map<String, VmState> read() throws IOException;

	/**
	 * State of a VM.
	 */
	enum VmState {

		/** The VM is running. */
		@JsonProperty("live")
		LIVE,

		/** The VM will be stopped soon. */
		@JsonProperty("leaving")
		LEAVING;

		/**
		 * Returns whether endpoints on the VM may receive new work.
		 * @return {@code true} for live VMs
		 */
		public boolean takesNewWork() {
			return this == LIVE;
		}

	}

}
