package transfer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testDocument returns a document of about 200 bytes a line that differs in few lines between
// versions.
func testDocument(version int64, lines int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "version %d\n", version)
	names := rand.New(rand.NewPCG(3, 0))
	for i := range lines {
		fmt.Fprintf(&b, "%016x%016x %0150d\n", names.Uint64(), names.Uint64(), i/8)
	}
	return b.Bytes()
}

// transferAll passes chunks until the receiver has a version and returns the bytes that were sent.
func transferAll(t *testing.T, sender *Sender, receiver *Receiver) (int64, []byte, int) {
	t.Helper()
	for sent, requests := 0, 0; requests < 10_000; requests++ {
		chunk, err := sender.Chunk(receiver.Request())
		if err != nil {
			t.Fatal(err)
		}
		sent += len(chunk.Data)
		version, document, err := receiver.Accept(chunk, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if version != 0 {
			return version, document, sent
		}
	}
	t.Fatal("the transfer does not end")
	return 0, nil, 0
}

// Guards against sending a whole document for a small change of it.
func TestChangedVersionTakesAFractionOfTheBytes(t *testing.T) {
	var sender Sender
	first, second := testDocument(1, 4000), testDocument(2, 4000)
	sender.Add(1, first)
	if _, document, _ := transferAll(t, &sender, NewReceiver(0, nil)); !bytes.Equal(document, first) {
		t.Fatal("another document arrived")
	}
	sender.Add(2, second)
	version, document, sent := transferAll(t, &sender, NewReceiver(1, first))
	if version != 2 || !bytes.Equal(document, second) || sent > len(second)/100 {
		t.Fatalf("version %d in %d bytes of %d, equal %t; want version 2 in under a hundredth", version, sent, len(second), bytes.Equal(document, second))
	}
}

// Guards against a transfer that starts again after each failed request, so that a slow link
// completes none while versions follow each other.
func TestTransferInProgressCompletesWhileVersionsAreAdded(t *testing.T) {
	var sender Sender
	sender.Add(1, testDocument(1, 4000))
	receiver := NewReceiver(0, nil)
	version := int64(1)
	for requests := 0; ; requests++ {
		if requests%4 == 0 && version < retainedVersions {
			version++
			sender.Add(version, testDocument(version, 4000))
		}
		chunk, err := sender.Chunk(receiver.Request())
		if err != nil {
			t.Fatal(err)
		}
		if requests%2 == 0 {
			receiver.RequestFailed() // the response is lost
			continue
		}
		got, document, err := receiver.Accept(chunk, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if got != 0 {
			if got != 1 && got != 2 || !bytes.Equal(document, testDocument(got, 4000)) {
				t.Fatalf("version %d after %d requests; want the one in progress", got, requests)
			}
			return
		}
		if requests > 4000 {
			t.Fatal("no version completes")
		}
	}
}

// Guards against chunk sizes that alternate between success and timeout, so that most of the time of
// a slow link is lost.
func TestChunksFitSlowLinks(t *testing.T) {
	const (
		timeout, roundTrip = 400 * time.Millisecond, 10 * time.Millisecond
		firstChunkTime     = 7 * time.Second // the first sizes are chosen without knowledge of the link: 32 KiB at 5 kB/s
	)
	document := testDocument(1, 8000)
	for _, rate := range []float64{5e3, 20e3, 60e3, 90e3, 120e3, 300e3, 1e6} { // bytes per second
		var sender Sender
		sender.Add(1, document)
		receiver := NewReceiver(0, nil)
		var elapsed time.Duration
		size := 0
		for version := int64(0); version == 0; {
			chunk, err := sender.Chunk(receiver.Request())
			if err != nil {
				t.Fatal(err)
			}
			size = chunk.Size
			took := roundTrip + time.Duration(float64(len(chunk.Data))/rate*float64(time.Second))
			elapsed += took // the link carries a late response, too
			if took > timeout {
				receiver.RequestFailed()
				continue
			}
			if version, _, err = receiver.Accept(chunk, took); err != nil {
				t.Fatal(err)
			}
		}
		ideal := time.Duration(float64(size) / rate * float64(time.Second))
		if elapsed > 3*ideal/2+firstChunkTime {
			t.Errorf("%.0f bytes/s: %v, while the link needs %v", rate, elapsed, ideal)
		}
	}
}

// TestReceiverGetsExactDocuments compares a receiver with the sender's newest version under lost
// responses, damaged chunks, new versions, and senders that start anew without the base.
func TestReceiverGetsExactDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, version := &Sender{}, int64(1)
		documents := map[int64][]byte{1: testDocument(1, 50)}
		sender.Add(1, documents[1])
		has, data := int64(0), []byte(nil)
		receiver := NewReceiver(has, data)
		step := func(label string, faulty bool) {
			chunk, err := sender.Chunk(receiver.Request())
			if err != nil {
				t.Fatal(err)
			}
			if faulty {
				switch rapid.IntRange(0, 3).Draw(t, label) {
				case 0:
					receiver.RequestFailed()
					return
				case 1:
					chunk.Data = append([]byte(nil), chunk.Data...)
					chunk.Data[0] ^= 1
				case 2:
					chunk.Offset++
				}
			}
			got, document, err := receiver.Accept(chunk, time.Millisecond)
			if err != nil || got == 0 {
				return
			}
			if got <= has || !bytes.Equal(document, documents[got]) {
				t.Fatalf("version %d after %d, equal %t", got, has, bytes.Equal(document, documents[got]))
			}
			has, data = got, document
			receiver = NewReceiver(has, data)
		}
		t.Repeat(map[string]func(*rapid.T){
			"fault": func(t *rapid.T) {
				if has < version {
					step("fault", true)
				}
			},
			"add": func(t *rapid.T) {
				version += rapid.Int64Range(1, 3).Draw(t, "step")
				documents[version] = testDocument(version, rapid.IntRange(0, 400).Draw(t, "lines"))
				sender.Add(version, documents[version])
			},
			"restart": func(*rapid.T) {
				sender = &Sender{}
				sender.Add(version, documents[version])
			},
		})
		for i := 0; has < version; i++ {
			if i > 1000 {
				t.Fatalf("the receiver stays at version %d, the sender has %d", has, version)
			}
			step("", false)
		}
	})
}

// BenchmarkTransfer measures the bytes and the processor time of the transfer of a document of about
// 1 MB: complete, and relative to a version that differs in one line or has a third of the lines less.
func BenchmarkTransfer(b *testing.B) {
	newest := testDocument(2, 5500)
	for _, test := range []struct {
		name string
		base []byte
	}{{"complete", nil}, {"one line changed", testDocument(1, 5500)}, {"a third added", testDocument(1, 3700)}} {
		b.Run(test.name, func(b *testing.B) {
			var size int
			for b.Loop() {
				encoded, err := encode(newest, test.base)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decode(encoded, test.base); err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(len(newest)), "document-bytes")
			b.ReportMetric(float64(size), "sent-bytes")
		})
	}
}
