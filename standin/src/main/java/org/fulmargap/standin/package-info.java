/**
 * Stand-ins of the platform and of endpoints with fault injection, and the load tool,
 * demo and measuring commands that use them.
 */
package org.fulmargap.standin;
