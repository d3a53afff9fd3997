/**
 * Simulation of routing and admission policies in virtual time.
 */
package org.fulmargap.bench;
