/**
 * Connections and messages between entry VMs.
 */
package org.fulmargap.entry.peer;
