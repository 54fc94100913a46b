/**
 * Spreading and activation of weights: manifests, chunk store, choice of chunk and
 * source, link budgets, orders to load. No sockets and no threads of its own.
 */
package org.wigeontally.weights;
