/**
 * Measurements of policies and of the cost of control state.
 */
package org.fulmargap.bench;
