// Package fake provides test doubles for the environment of the program: backends that execute requests, the platform's
// discovery, proxies that inject faults into connections, and clients with deadlines and retries. All of them use loopback
// sockets and real time. An EffectRecorder records which requests clients sent, which responses they received and which
// requests backends executed. Its Check method reports which of the four rules were broken. The package shares no code with the
// program under test, so that one defect cannot affect both the program and the checks.
package fake
