/**
 * Runs the stages of requests in batched calls that the work items of all entry VMs
 * share.
 */
package org.fulmargap.entry.stage;
