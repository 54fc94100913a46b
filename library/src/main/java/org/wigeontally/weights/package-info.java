/**
 * Distribution and activation of weights: manifests, chunk store, selection of chunks and
 * sources, link rate limits, load orders. The package opens no sockets and starts no
 * threads.
 */
package org.wigeontally.weights;
