/**
 * The endpoints, their state as seen by this entry VM, and the choice of an endpoint for
 * a request.
 */
package org.fulmargap.placement;
