/**
 * Which endpoints exist, what is known of them, and which of them runs a request.
 */
package org.fulmargap.placement;
