package org.fulmargap.ledger;

import java.util.Collection;

/**
 * Lists the entry VMs that may hold claims.
 */
public interface MemberDirectory {

	/**
	 * Returns the entry VMs that may hold claims: the members and every other entry VM
	 * that this one knows. Additional names are safe.
	 * @return the names, empty if the members are not known
	 */
	Collection<String> vms();

	/**
	 * Returns when this entry VM last learned of a change that may have removed a member:
	 * a departure or eviction, a join, which can replace an incarnation, or an installed
	 * snapshot. Claims of a removed member can be found only in the stream.
	 * @return a time in milliseconds since the epoch, or {@link Long#MIN_VALUE} if there
	 * was none
	 */
	long lastRemovalAtMs();

}
