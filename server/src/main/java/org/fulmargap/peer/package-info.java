/**
 * Connections between entry VMs and the messages that they exchange over them.
 */
package org.fulmargap.peer;
