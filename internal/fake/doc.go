// Package fake imitates what stands around the program: backends that do work, the platform's discovery, proxies that inject
// faults between two places, and clients with deadlines and retries. All of it uses loopback sockets and real time. An
// EffectRecorder observes what clients sent, what they were answered and what the backends did, and tells afterwards whether one
// of the four rules was broken. The package shares no code with the program that it watches, so that one mistake cannot hide
// another.
package fake
