// Package allocator plans which holder gets which share of each limit, as a pure
// function of the document, the registry, demand and the shares at present.
package allocator
