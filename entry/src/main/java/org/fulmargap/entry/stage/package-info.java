/**
 * Runs the stages of requests through calls that all entry VMs share.
 */
package org.fulmargap.entry.stage;
