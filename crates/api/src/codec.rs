//! Provides the codec of all messages: prost's codec with small buffers. A call stays open for as
//! long as its allocation runs, and tonic's default buffers of 8 KiB at each end of each call would
//! account for most of the memory of an allocation.

use std::marker::PhantomData;
use tonic::codec::{BufferSettings, Codec};
use tonic_prost::{ProstDecoder, ProstEncoder};

/// Initial size of a buffer, in bytes.
const BUFFER_BYTES: usize = 256;
/// Size, in bytes, at which a buffer is passed on before more is encoded.
const YIELD_THRESHOLD_BYTES: usize = 32 * 1024;

/// Encodes `T` and decodes `U` with small buffers.
pub struct SmallBufferCodec<T, U>(PhantomData<(T, U)>);

impl<T, U> Default for SmallBufferCodec<T, U> {
    fn default() -> Self {
        SmallBufferCodec(PhantomData)
    }
}

fn buffer_settings() -> BufferSettings {
    BufferSettings::new(BUFFER_BYTES, YIELD_THRESHOLD_BYTES)
}

impl<T, U> Codec for SmallBufferCodec<T, U>
where
    T: prost::Message + Send + 'static,
    U: prost::Message + Default + Send + 'static,
{
    type Encode = T;
    type Decode = U;
    type Encoder = ProstEncoder<T>;
    type Decoder = ProstDecoder<U>;

    fn encoder(&mut self) -> Self::Encoder {
        ProstEncoder::new(buffer_settings())
    }

    fn decoder(&mut self) -> Self::Decoder {
        ProstDecoder::new(buffer_settings())
    }
}
